//! Only holders of a common key talk to each other.

#[path = "support/node.rs"]
mod node;

use {
    cluster::{HandshakeError, PeerError, PeerKeyError, PeerKeys, handshake},
    node::{KEY, Node},
    std::time::Duration,
    tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
};

const OLD_KEY: &str = "old-old-old-old-old-old-old-old-old";
const OTHER_KEY: &str = "other-other-other-other-other-other";

fn keys(text: &str) -> PeerKeys {
    text.parse().unwrap()
}

async fn handshake(
    opening: &str,
    accepting: &str,
) -> (Result<(), HandshakeError>, Result<(), HandshakeError>) {
    let (mut near, mut far) = duplex(1_024);
    let (opening, accepting) = (keys(opening), keys(accepting));
    tokio::join!(
        async move { handshake::open(&mut near, &opening).await },
        async move { handshake::accept(&mut far, &accepting).await },
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
        for (opening, accepting) in [(pair[0], pair[1]), (pair[1], pair[0]), (pair[0], pair[0])] {
            let (opened, accepted) = handshake(opening, accepting).await;
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
async fn wrong_key_gets_no_answer_and_the_right_one_does() {
    let server = Node::start("server", KEY, Duration::ZERO).await;
    let to = server.cluster.own_member().peer_address;
    let stranger = Node::start("stranger", OTHER_KEY, Duration::ZERO).await;
    let refused = stranger.peers().catalog(to, 0).await.unwrap_err();
    assert!(matches!(refused, PeerError::Handshake { .. }), "{refused}");
    assert!(!refused.to_string().contains(OTHER_KEY));
    let friend = Node::start("friend", KEY, Duration::ZERO).await;
    assert!(friend.peers().catalog(to, 0).await.unwrap().is_some());
}

async fn accept_from<Peer, Acts>(acts: Acts) -> Result<(), HandshakeError>
where
    Acts: FnOnce(DuplexStream) -> Peer,
    Peer: Future<Output = ()>,
{
    let (near, mut far) = duplex(1_024);
    let accepting = keys(KEY);
    let (result, ()) = tokio::join!(handshake::accept(&mut far, &accepting), acts(near));
    result
}

#[tokio::test]
async fn proof_sent_back_is_refused() {
    let result = accept_from(|mut stream| async move {
        stream.write_all(b"RATPEER1").await.unwrap();
        stream.write_all(&[1; 32]).await.unwrap();
        let mut answer = [0; 64];
        stream.read_exact(&mut answer).await.unwrap();
        stream.write_all(&answer[32..]).await.unwrap();
    });
    assert!(matches!(result.await, Err(HandshakeError::NoCommonKey)));
}

#[tokio::test(start_paused = true)]
async fn silent_and_foreign_connections_end() {
    let foreign = accept_from(|mut stream| async move {
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    });
    assert!(matches!(foreign.await, Err(HandshakeError::Protocol)));
    let silent = accept_from(|stream| async move {
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
