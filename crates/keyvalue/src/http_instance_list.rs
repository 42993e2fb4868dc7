//! HTTP client of the instance list.

use {
    crate::{
        Instance, InstanceList, InstanceListError,
        http_pool::{CallError, HttpPool},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, StatusCode, header::HOST},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Reads the instance list with `GET /instances`.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    pool: Arc<HttpPool>,
    timeout: Duration,
}

impl HttpInstanceList {
    /// Creates a client of the list at `address`. Each read fails after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            pool: Arc::new(HttpPool::new(address)),
            timeout,
        }
    }
}

impl InstanceList for HttpInstanceList {
    async fn instances(&self) -> Result<Vec<Instance>, InstanceListError> {
        let request = Request::get("/instances")
            .header(HOST, self.pool.address().to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| list_error(error.to_string()))?;
        let deadline = Instant::now() + self.timeout;
        let response = self.pool.call(request, deadline, deadline).await;
        let response = response.map_err(|error| match error {
            CallError::NotSent(reason) | CallError::NoAnswer(reason) => list_error(reason),
        })?;
        if response.status != StatusCode::OK {
            return Err(list_error(format!("status {}", response.status)));
        }
        serde_json::from_slice(&response.body).map_err(|error| list_error(error.to_string()))
    }
}

fn list_error(reason: String) -> InstanceListError {
    InstanceListError { reason }
}
