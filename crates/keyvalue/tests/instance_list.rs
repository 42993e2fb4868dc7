//! Reading the instance list over HTTP.

use {
    keyvalue::{HttpInstanceList, InstanceList, InstanceState},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const LIST: &str = r#"[{"name":"e1","role":"entry","address":"127.0.0.1:1","region":"r",
    "failure_domain":"d","state":"leaving"}]"#;

#[tokio::test]
async fn a_list_is_read_and_a_closed_server_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let list = HttpInstanceList::new(listener.local_addr().unwrap(), Duration::from_secs(5));
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let length = stream.read(&mut [0; 4096]).await.unwrap();
        assert!(length > 0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", LIST.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(LIST.as_bytes()).await.unwrap();
    });
    let instances = list.instances().await.unwrap();
    assert_eq!(instances[0].state, InstanceState::Leaving);
    assert_eq!(instances[0].peer_address, None);
    server.await.unwrap();
    assert!(list.instances().await.is_err());
}

/// Guards against half a list that is read as one with fewer instances.
#[tokio::test]
async fn a_list_that_ends_with_its_connection_counts_only_if_it_is_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let list = HttpInstanceList::new(listener.local_addr().unwrap(), Duration::from_secs(5));
    let server = tokio::spawn(async move {
        for length in 0..=LIST.len() {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
            let answer = format!("HTTP/1.1 200 OK\r\n\r\n{}", &LIST[..length]);
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    for _ in 0..LIST.len() {
        let half = list.instances().await;
        assert!(half.is_err(), "{half:?}");
    }
    assert_eq!(list.instances().await.unwrap().len(), 1);
    server.await.unwrap();
}

/// Guards against a list that can't be read while one entry of another writer stands in it.
#[tokio::test]
async fn unreadable_entries_leave_the_others_in_the_list() {
    let odd_entries: [&[u8]; 6] = [
        b"null",
        br#"{"name":"x"}"#,
        br#"{"name":7,"role":"entry","address":"127.0.0.1:1","region":"r","failure_domain":"d","state":"live"}"#,
        br#"{"name":"x","role":"entry","address":"nowhere","region":"r","failure_domain":"d","state":"live"}"#,
        br#"{"name":"x","role":"entry","address":"127.0.0.1:1","region":"r","failure_domain":"d","state":"odd"}"#,
        b"{\"name\":\"\xff\"}",
    ];
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let list = HttpInstanceList::new(listener.local_addr().unwrap(), Duration::from_secs(5));
    let server = tokio::spawn(async move {
        for odd in odd_entries {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
            let sound = &LIST.as_bytes()[1..];
            let body = [b"[", odd, b",", sound].concat();
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ";
            let head = format!("{head}{}\r\n\r\n", body.len());
            let answer = [head.as_bytes(), &body].concat();
            stream.write_all(&answer).await.unwrap();
        }
    });
    for _ in 0..6 {
        let instances = list.instances().await.unwrap();
        let names: Vec<&str> = instances.iter().map(|it| it.name.as_ref()).collect();
        assert_eq!(names, ["e1"]);
    }
    server.await.unwrap();
}
