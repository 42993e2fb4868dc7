//! What the relay does with connections in each of its modes.

use {
    standin::{
        Server,
        relay::{Relay, RelayMode, RelaySettings},
    },
    std::{io::ErrorKind, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Time after which nothing counts as coming.
const SILENCE: Duration = Duration::from_millis(200);
/// Time within which data arrives.
const ARRIVAL: Duration = Duration::from_secs(5);

/// Starts a relay to a target that repeats what it gets.
async fn start() -> Server<Relay> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    Relay::start(RelaySettings::to(address)).await.unwrap()
}

async fn connect(relay: &Server<Relay>) -> TcpStream {
    let mut stream = TcpStream::connect(relay.role().address).await.unwrap();
    send(&mut stream).await;
    assert!(receives(&mut stream, ARRIVAL).await);
    stream
}

async fn send(stream: &mut TcpStream) {
    stream.write_all(b"x").await.unwrap();
}

/// Whether data arrives within `wait`.
async fn receives(stream: &mut TcpStream, wait: Duration) -> bool {
    let read = timeout(wait, stream.read(&mut [0; 8])).await;
    matches!(read, Ok(Ok(1..)))
}

#[tokio::test]
async fn held_data_arrives_when_the_mode_changes() {
    for mode in [
        RelayMode::Hold,
        RelayMode::HoldCalls,
        RelayMode::HoldAnswers,
    ] {
        let relay = start().await;
        let mut stream = connect(&relay).await;
        relay.role().set_mode(mode);
        send(&mut stream).await;
        assert!(!receives(&mut stream, SILENCE).await, "{mode:?}");
        relay.role().set_mode(RelayMode::Pass);
        assert!(receives(&mut stream, ARRIVAL).await, "{mode:?}");
    }
}

#[tokio::test]
async fn connections_are_reset_not_closed() {
    let relay = start().await;
    let mut stream = connect(&relay).await;
    relay.role().set_mode(RelayMode::Reset);
    let read = timeout(ARRIVAL, stream.read(&mut [0; 8])).await.unwrap();
    assert_eq!(read.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn refused_address_accepts_again() {
    let relay = start().await;
    let mut stream = connect(&relay).await;
    relay.role().set_mode(RelayMode::Refuse);
    assert!(!receives(&mut stream, ARRIVAL).await, "it is closed");
    while TcpStream::connect(relay.role().address).await.is_ok() {
        sleep(Duration::from_millis(10)).await;
    }
    relay.role().set_mode(RelayMode::Pass);
    while TcpStream::connect(relay.role().address).await.is_err() {
        sleep(Duration::from_millis(10)).await;
    }
    connect(&relay).await;
}

#[tokio::test]
async fn connections_that_are_open_stay_when_new_ones_go_elsewhere() {
    let relay = start().await;
    let mut stream = connect(&relay).await;
    let elsewhere = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    relay.role().set_to(elsewhere.local_addr().unwrap());
    let _new = TcpStream::connect(relay.role().address).await.unwrap();
    assert!(timeout(ARRIVAL, elsewhere.accept()).await.is_ok());
    send(&mut stream).await;
    assert!(receives(&mut stream, ARRIVAL).await);
}
