//! HTTP client of the instance list.

use {
    crate::{
        Instance, InstanceList, InstanceListError,
        http_pool::{CallError, HttpPool},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, StatusCode, header::HOST},
    serde_json::value::RawValue,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
};

/// Reads the instance list with `GET /instances`. Entries that can't be read are left out.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    pool: Arc<HttpPool>,
    timeout: Duration,
    /// Number of entries that could not be read in the last list.
    unreadable_count: Arc<AtomicUsize>,
}

impl HttpInstanceList {
    /// Creates a client of the list at `address`. Each read fails after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            pool: Arc::new(HttpPool::new(address)),
            timeout,
            unreadable_count: Arc::default(),
        }
    }

    /// Parses each entry by itself.
    fn parse_list(&self, body: &[u8]) -> Result<Vec<Instance>, InstanceListError> {
        let text = String::from_utf8_lossy(body);
        let entries: Vec<&RawValue> =
            serde_json::from_str(&text).map_err(|error| list_error(error.to_string()))?;
        let mut instances = Vec::with_capacity(entries.len());
        let mut last_error = None;
        for entry in &entries {
            match serde_json::from_str(entry.get()) {
                Ok(instance) => instances.push(instance),
                Err(error) => last_error = Some(error),
            }
        }
        self.report_unreadable(entries.len() - instances.len(), last_error);
        Ok(instances)
    }

    /// Logs how many entries could not be read, if the number has changed.
    fn report_unreadable(&self, count: usize, last_error: Option<serde_json::Error>) {
        let earlier_count = self.unreadable_count.swap(count, Ordering::Relaxed);
        if let Some(error) = last_error.filter(|_| count != earlier_count) {
            log::warn!(
                "ignoring {count} unreadable entries of the instance list, the last one because of: {error}; \
                 correct or remove them"
            );
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
        self.parse_list(&response.body)
    }
}

fn list_error(reason: String) -> InstanceListError {
    InstanceListError { reason }
}
