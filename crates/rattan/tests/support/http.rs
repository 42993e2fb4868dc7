//! Persistent connection of a caller.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Timeout of each step of a request.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// One connection to an entry instance.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    key: String,
    /// Additional headers of all requests sent from now on.
    pub headers: Vec<(&'static str, String)>,
}

impl Connection {
    /// Connects to an entry, with `key` as the bearer token.
    pub async fn open(address: SocketAddr, key: &str) -> io::Result<Self> {
        let stream = with_timeout(TcpStream::connect(address)).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(connection);
        Ok(Self {
            sender,
            key: key.to_owned(),
            headers: Vec::new(),
        })
    }

    /// Sends a request and returns once the head of the answer has arrived.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> io::Result<Response<Incoming>> {
        let body = if body.is_null() {
            Bytes::new()
        } else {
            body.to_string().into()
        };
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "entry")
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(body)).map_err(io::Error::other)?;
        with_timeout(async {
            self.sender.ready().await.map_err(io::Error::other)?;
            self.sender
                .send_request(request)
                .await
                .map_err(io::Error::other)
        })
        .await
    }

    /// Sends a request and reads the complete answer.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> io::Result<(StatusCode, Bytes)> {
        let response = self.send(method, path, body).await?;
        let status = response.status();
        let body = with_timeout(async {
            response
                .into_body()
                .collect()
                .await
                .map_err(io::Error::other)
        });
        Ok((status, body.await?.to_bytes()))
    }

    /// Sends a request and returns the JSON body. Any status but 200 is an error.
    pub async fn json(&mut self, method: Method, path: &str, body: &Value) -> io::Result<Value> {
        let (status, answer) = self.call(method, path, body).await?;
        if status != StatusCode::OK {
            let text = String::from_utf8_lossy(&answer);
            return Err(io::Error::other(format!("{path}: {status} {text}")));
        }
        serde_json::from_slice(&answer).map_err(io::Error::other)
    }
}

/// Fails with a timeout error after [`ANSWER_TIMEOUT`].
pub async fn with_timeout<Work, Value>(work: Work) -> io::Result<Value>
where
    Work: Future<Output = io::Result<Value>>,
{
    timeout(ANSWER_TIMEOUT, work)
        .await
        .map_err(io::Error::other)?
}
