//! A dead connection is replaced before the call counts as a failure of the peer.

#[path = "support/test_instance.rs"]
mod test_instance;

use {
    cluster::{CircuitBreaker, PeerError},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    test_instance::{KEY, TestInstance},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// What a proxy does to its open connections; later connections work.
#[derive(Clone, Copy)]
enum Fault {
    Silence,
    Cut,
}

struct FaultyProxy {
    address: SocketAddr,
    accepted_count: Arc<AtomicUsize>,
    fault: watch::Sender<Fault>,
}

impl FaultyProxy {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            accepted_count: Arc::default(),
            fault: watch::Sender::new(Fault::Cut),
        };
        let (accepted_count, fault) = (proxy.accepted_count.clone(), proxy.fault.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted_count.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(forward(stream, to, fault.subscribe()));
            }
        });
        proxy
    }
}

async fn forward(mut client: TcpStream, to: SocketAddr, mut fault: watch::Receiver<Fault>) {
    let mut server = TcpStream::connect(to).await.unwrap();
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => return,
        _ = fault.changed() => {}
    }
    if matches!(*fault.borrow(), Fault::Cut) {
        return;
    }
    // Keeps both connections open and discards what arrives.
    let _ = tokio::io::copy(&mut client, &mut tokio::io::sink()).await;
}

#[tokio::test]
async fn dead_connection_is_replaced() {
    let (a, b) = (start_instance("a").await, start_instance("b").await);
    let proxy = FaultyProxy::start(b.cluster.own_member().peer_address).await;
    for (round, fault) in [Fault::Silence, Fault::Cut, Fault::Silence]
        .into_iter()
        .enumerate()
    {
        a.peers().catalog(proxy.address, 0).await.unwrap();
        assert_eq!(proxy.accepted_count.load(Ordering::SeqCst), round + 1);
        proxy.fault.send_replace(fault);
    }
    a.peers().catalog(proxy.address, 0).await.unwrap();
}

#[tokio::test]
async fn circuit_opens_for_a_peer_that_never_answers() {
    let a = start_instance("a").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            // Reads and never answers. The connection stays open until the other side closes it.
            tokio::spawn(async move { while stream.read_u8().await.is_ok() {} });
        }
    });
    let timeout = Duration::from_millis(20);
    let account = "x".to_owned();
    let mut errors = Vec::new();
    for _ in 0..4 {
        let answer = a.peers().lookup(address, timeout, &account, &[]).await;
        errors.push(answer.unwrap_err());
    }
    assert!(
        matches!(errors[0], PeerError::Timeout { .. }),
        "{}",
        errors[0]
    );
    assert!(
        matches!(errors[3], PeerError::CircuitOpen { .. }),
        "{}",
        errors[3]
    );
}

#[test]
fn breaker_backs_off_and_closes() {
    let start = Instant::now();
    let mut breaker = CircuitBreaker::default();
    for _ in 0..3 {
        assert!(breaker.allow(start).is_ok());
        breaker.record_failure(start, 0.0);
    }
    let wait = breaker.allow(start).unwrap_err();
    assert!(breaker.allow(start + wait).is_ok());
    assert!(breaker.allow(start + wait).is_err(), "one trial at a time");
    breaker.record_failure(start + wait, 1.0);
    assert!(breaker.allow(start + wait).unwrap_err() > wait);
    breaker.record_success();
    assert!(breaker.allow(start).is_ok());
}

async fn start_instance(name: &str) -> TestInstance {
    TestInstance::start(name, KEY, Duration::ZERO).await
}

#[tokio::test]
async fn garbage_after_the_handshake_ends_only_that_connection() {
    let (a, b) = (start_instance("a").await, start_instance("b").await);
    let to = b.cluster.own_member().peer_address;
    let mut stream = TcpStream::connect(to).await.unwrap();
    cluster::handshake::open(&mut stream, &KEY.parse().unwrap())
        .await
        .unwrap();
    stream.write_all(&[0xff; 64]).await.unwrap();
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut rest));
    assert!(closed.await.is_ok());
    assert!(a.peers().catalog(to, 0).await.is_ok());
}
