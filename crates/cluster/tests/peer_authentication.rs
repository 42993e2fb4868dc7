//! Only instances that share a key can connect to each other.

#[path = "support/test_instance.rs"]
mod test_instance;

use {
    cluster::{HandshakeError, PeerError, PeerKeyError, PeerKeys, handshake},
    std::time::Duration,
    test_instance::{KEY, TestInstance},
    tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
};

const OLD_KEY: &str = "old-old-old-old-old-old-old-old-old";
const OTHER_KEY: &str = "other-other-other-other-other-other";

fn keys(text: &str) -> PeerKeys {
    text.parse().unwrap()
}

async fn handshake(
    initiator_keys: &str,
    responder_keys: &str,
) -> (Result<(), HandshakeError>, Result<(), HandshakeError>) {
    let (mut client_stream, mut server_stream) = duplex(1_024);
    let (initiator_keys, responder_keys) = (keys(initiator_keys), keys(responder_keys));
    tokio::join!(
        async move { handshake::open(&mut client_stream, &initiator_keys).await },
        async move { handshake::accept(&mut server_stream, &responder_keys).await },
    )
}

#[tokio::test]
async fn each_step_of_a_rotation_has_a_common_key() {
    let steps = [
        KEY,
        &format!("{KEY}, {OLD_KEY}"),
        &format!("{OLD_KEY},{KEY}"),
        OLD_KEY,
    ];
    for pair in steps.windows(2) {
        for (initiator_keys, responder_keys) in
            [(pair[0], pair[1]), (pair[1], pair[0]), (pair[0], pair[0])]
        {
            let (opened, accepted) = handshake(initiator_keys, responder_keys).await;
            opened.unwrap();
            accepted.unwrap();
        }
    }
}

#[tokio::test]
async fn different_keys_are_refused() {
    let (opened, accepted) = handshake(OTHER_KEY, KEY).await;
    assert!(matches!(opened, Err(HandshakeError::NoCommonKey)));
    assert!(accepted.is_err());
}

#[tokio::test]
async fn only_the_right_key_gets_an_answer() {
    let server = TestInstance::start("server", KEY, Duration::ZERO).await;
    let to = server.cluster.own_member().peer_address;
    let untrusted = TestInstance::start("stranger", OTHER_KEY, Duration::ZERO).await;
    let refused = untrusted.peers().catalog(to, 0).await.unwrap_err();
    assert!(matches!(refused, PeerError::Handshake { .. }), "{refused}");
    assert!(!refused.to_string().contains(OTHER_KEY));
    let trusted = TestInstance::start("friend", KEY, Duration::ZERO).await;
    assert!(trusted.peers().catalog(to, 0).await.unwrap().is_some());
}

async fn accept_client<ClientFuture, Client>(client: Client) -> Result<(), HandshakeError>
where
    Client: FnOnce(DuplexStream) -> ClientFuture,
    ClientFuture: Future<Output = ()>,
{
    let (client_stream, mut server_stream) = duplex(1_024);
    let responder_keys = keys(KEY);
    let (result, ()) = tokio::join!(
        handshake::accept(&mut server_stream, &responder_keys),
        client(client_stream)
    );
    result
}

#[tokio::test]
async fn reflected_proof_is_refused() {
    let result = accept_client(|mut stream| async move {
        stream.write_all(b"RATPEER1").await.unwrap();
        stream.write_all(&[1; 32]).await.unwrap();
        let mut answer = [0; 64];
        stream.read_exact(&mut answer).await.unwrap();
        stream.write_all(&answer[32..]).await.unwrap();
    });
    assert!(matches!(result.await, Err(HandshakeError::NoCommonKey)));
}

#[tokio::test(start_paused = true)]
async fn silent_and_foreign_connections_are_refused() {
    let foreign = accept_client(|mut stream| async move {
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    });
    assert!(matches!(foreign.await, Err(HandshakeError::Protocol)));
    let silent = accept_client(|stream| async move {
        tokio::time::sleep(Duration::from_secs(5)).await;
        drop(stream);
    });
    assert!(matches!(silent.await, Err(HandshakeError::TimedOut)));
}

#[test]
fn keys_are_long_and_never_shown() {
    let short = "short".parse::<PeerKeys>().unwrap_err();
    assert_eq!(short, PeerKeyError::TooShort { length_bytes: 5 });
    assert!(!format!("{:?}", keys(KEY)).contains(&KEY[..8]));
}
