//! A gateway with an in-memory backend, and raw connections to it.
#![allow(dead_code, reason = "each test file uses a part")]

use {
    catalog::{ClientAccountId, RequestId},
    decision::Record,
    gateway::{
        Backend, Caller, CompletionEvent, CompletionJob, CompletionStream, DrainSignal, Entries,
        Gateway, GatewaySettings, OperatorRequest, OperatorResponse, Refusal, RefusalKind,
        ServiceJob, ServiceResponse, digest_of,
    },
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::mpsc,
        time::timeout,
    },
};

/// Key of the client account `kitchens`.
pub const KITCHENS_KEY: &str = "key-of-kitchens";
/// Key of the client account `stones`.
pub const STONES_KEY: &str = "key-of-stones";
/// Key of an operator.
pub const OPERATOR_KEY: &str = "key-of-an-operator";
/// Time after which a test that waits for a response fails.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Backend that returns every prompt as the answer and has the decision record `decided` of
/// `kitchens`. Answers of the models `torn` and `panicking` end without [`CompletionEvent::End`], the
/// latter by a panic; those of `failing` end with [`CompletionEvent::Failed`]. A call to a service without a
/// body is answered with its path.
#[derive(Clone)]
pub struct EchoBackend;

impl Backend for EchoBackend {
    fn caller(&self, key_digest: &str) -> Option<Caller> {
        if digest_of(OPERATOR_KEY) == key_digest {
            return Some(Caller::Operator);
        }
        let accounts = [(KITCHENS_KEY, "kitchens"), (STONES_KEY, "stones")];
        accounts
            .iter()
            .find(|(key, _)| digest_of(key) == key_digest)
            .map(|(_, account)| Caller::ClientAccount((*account).to_owned()))
    }

    async fn start_completion(&self, job: CompletionJob) -> Result<CompletionStream, Refusal> {
        let (events, receiver) = mpsc::channel(2);
        tokio::spawn(async move {
            let _ = events.send(CompletionEvent::Text(job.prompt)).await;
            let end = match job.model.as_str() {
                "torn" => return,
                "panicking" => panic!("of the test"),
                "failing" => CompletionEvent::Failed(Refusal::unknown(
                    RefusalKind::TargetFailed,
                    "the engine is out of memory; send the request again",
                )),
                _ => CompletionEvent::End {
                    finish_reason: "stop".to_owned(),
                    prompt_tokens: 1,
                    cached_tokens: 0,
                    completion_tokens: 1,
                },
            };
            let _ = events.send(end).await;
        });
        CompletionStream::start(receiver).await
    }

    async fn call_service(&self, job: ServiceJob) -> Result<ServiceResponse, Refusal> {
        let is_empty = job.body.is_empty();
        Ok(ServiceResponse {
            status: 200,
            body: if is_empty { job.path.into() } else { job.body },
            ..ServiceResponse::default()
        })
    }

    fn entries(&self, _account: &ClientAccountId) -> Entries {
        Entries::default()
    }

    async fn decision(&self, request: &RequestId) -> Option<Record> {
        (request == "decided").then(|| Record {
            request: request.clone(),
            client_account: "kitchens".to_owned(),
            instance: "entry-1".to_owned(),
            model_version: "granite-1".to_owned(),
            revision: 1,
            arrived: Duration::ZERO,
            steps: Vec::new(),
        })
    }

    async fn handle_operator_request(&self, _request: OperatorRequest) -> OperatorResponse {
        OperatorResponse {
            status: 200,
            body: json!({}),
        }
    }
}

/// Starts a gateway. Returns its address and the signal that stops it.
pub async fn start(settings: GatewaySettings) -> (SocketAddr, DrainSignal) {
    let gateway = Gateway::bind(settings, EchoBackend)
        .await
        .expect("a free port");
    let address = gateway.address();
    let signal = DrainSignal::default();
    let stop = signal.clone();
    tokio::spawn(async move { gateway.run(stop).await });
    (address, signal)
}

/// Sends raw bytes and reads until the gateway closes the connection.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("gateway listens");
    // Writing fails if the gateway refuses the request and closes the connection early.
    let _ = stream.write_all(bytes).await;
    read_to_end(&mut stream).await
}

/// Reads until the gateway closes the connection.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let read = timeout(RESPONSE_TIMEOUT, stream.read(&mut buffer)).await;
        match read.expect("the gateway answers or closes") {
            Ok(0) | Err(_) => break,
            Ok(count) => response.extend_from_slice(&buffer[..count]),
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Formats a request that asks the gateway to close the connection after its response.
pub fn request(method: &str, path: &str, key: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
}
