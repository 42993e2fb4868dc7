//! Client of the key-value service, over the JSON API of etcd v3.

use {
    crate::{
        Event, Incarnation, IncarnationTracker, KeyValue, KvError, Lease, LeaseId, Range, Txn,
        TxnOutcome,
        etcd_requests::{LeaseGrantRequest, LeaseRequest, RangeRequest, TxnRequest, WatchRequest},
        etcd_responses::{
            ErrorBody, LeaseResponse, RangeResponse, StreamMessage, TxnResponse, malformed,
        },
        etcd_watch::{EtcdWatch, watch_events},
        http_pool::{CallError, Connection, HttpPool, HttpResponse},
    },
    bytes::Bytes,
    catalog::Revision,
    futures::Stream,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HOST},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

/// Endpoints and timeout of the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EtcdSettings {
    /// Addresses of the service, any of which can answer a call.
    pub endpoints: Vec<SocketAddr>,
    /// Timeout of one call over all endpoints, connecting included, and of opening a watch.
    pub timeout: Duration,
}

/// Client of the key-value service over HTTP. Clones share connections.
///
/// If a connection can't be opened, the call is tried at the next endpoint. Once any byte of a call
/// may have been sent, it is never sent again, and a missing answer is [`KvError::Unknown`]. Only
/// the opening of a watch is tried at the next endpoint after any failure, since it changes
/// nothing.
#[derive(Clone, Debug)]
pub struct EtcdKv {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    pools: Vec<HttpPool>,
    preferred_index: AtomicUsize,
    timeout: Duration,
    /// Answers name no incarnation: an operator who restores a copy starts a new cluster.
    incarnations: IncarnationTracker,
}

impl EtcdKv {
    /// Creates a client. It connects with the first call.
    #[must_use]
    pub fn new(settings: EtcdSettings) -> Self {
        let pools = settings.endpoints.into_iter().map(HttpPool::new);
        Self {
            shared: Arc::new(Shared {
                pools: pools.collect(),
                preferred_index: AtomicUsize::new(0),
                timeout: settings.timeout,
                incarnations: IncarnationTracker::default(),
            }),
        }
    }

    /// Sends a call to the first endpoint that can be reached and decodes its response.
    async fn call<RequestBody, ResponseBody>(
        &self,
        path: &str,
        request_body: &RequestBody,
    ) -> Result<ResponseBody, KvError>
    where
        RequestBody: Serialize + Sync,
        ResponseBody: DeserializeOwned,
    {
        let body = encode(request_body)?;
        let deadline = Instant::now() + self.shared.timeout;
        let mut failure = no_endpoint();
        for index in self.shared.endpoint_order() {
            let pool = &self.shared.pools[index];
            let request = post(pool.address(), path, body.clone())?;
            let connect_by = self.shared.connect_by(deadline);
            match pool.call(request, connect_by, deadline).await {
                Ok(response) => return decode(&response),
                Err(error) => failure = self.shared.record_failure(index, error),
            }
            if matches!(failure, KvError::Unknown { .. }) {
                break;
            }
        }
        Err(failure)
    }

    /// Opens a watch at the first endpoint that answers.
    async fn open_watch(self, watch_request: WatchRequest) -> Result<EtcdWatch, KvError> {
        let body = encode(&watch_request)?;
        let deadline = Instant::now() + self.shared.timeout;
        let mut failure = no_endpoint();
        for index in self.shared.endpoint_order() {
            let pool = &self.shared.pools[index];
            let request = post(pool.address(), "/v3/watch", body.clone())?;
            let connect_by = self.shared.connect_by(deadline);
            match pool.send(request, connect_by, deadline).await {
                Ok((response, connection)) => return into_watch(response, connection),
                Err(error) => failure = self.shared.record_failure(index, error),
            }
        }
        Err(failure)
    }
}

impl Shared {
    /// Indexes of the endpoints in the order to try them, starting with the preferred one.
    fn endpoint_order(&self) -> impl Iterator<Item = usize> + use<> {
        let count = self.pools.len();
        let first = self.preferred_index.load(Ordering::Relaxed);
        (0..count).map(move |offset| (first + offset) % count)
    }

    /// Deadline for connecting to one endpoint. Each endpoint gets an equal share of the timeout,
    /// so that one that doesn't respond leaves time for the others.
    fn connect_by(&self, deadline: Instant) -> Instant {
        let endpoint_count = u32::try_from(self.pools.len()).unwrap_or(u32::MAX).max(1);
        deadline.min(Instant::now() + self.timeout / endpoint_count)
    }

    /// Prefers the endpoint after `index` from now on, and converts the error.
    fn record_failure(&self, index: usize, error: CallError) -> KvError {
        let next = (index + 1) % self.pools.len();
        self.preferred_index.store(next, Ordering::Relaxed);
        error.into_kv_error(self.pools[index].address())
    }
}

impl KeyValue for EtcdKv {
    fn incarnation(&self) -> watch::Receiver<Incarnation> {
        self.shared.incarnations.subscribe()
    }

    async fn range(&self, prefix: &str) -> Result<Range, KvError> {
        let request = RangeRequest::prefix(prefix);
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        Range::try_from(response)
    }

    async fn txn(&self, txn: Txn) -> Result<TxnOutcome, KvError> {
        let request = TxnRequest::from(&txn);
        let response: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        TxnOutcome::try_from(response)
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, KvError> {
        let request = LeaseGrantRequest::new(ttl);
        let response: LeaseResponse = self.call("/v3/lease/grant", &request).await?;
        Ok(Lease {
            id: response.id,
            ttl: response.ttl(),
        })
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Lease, KvError> {
        let request = LeaseRequest::new(lease);
        let response: StreamMessage<LeaseResponse> =
            self.call("/v3/lease/keepalive", &request).await?;
        let Some(renewed) = response.result else {
            let reason = response.error.unwrap_or_default().message;
            return Err(KvError::Refused { reason });
        };
        if renewed.ttl().is_zero() {
            let reason = format!("requested lease {lease} not found");
            return Err(KvError::Refused { reason });
        }
        Ok(Lease {
            id: lease,
            ttl: renewed.ttl(),
        })
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), KvError> {
        let request = LeaseRequest::new(lease);
        let _: serde::de::IgnoredAny = self.call("/v3/lease/revoke", &request).await?;
        Ok(())
    }

    fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> impl Stream<Item = Result<Event, KvError>> + Send + use<> {
        watch_events(self.clone().open_watch(WatchRequest::prefix(prefix, from)))
    }
}

fn encode<RequestBody>(request_body: &RequestBody) -> Result<Bytes, KvError>
where
    RequestBody: Serialize,
{
    let body = serde_json::to_vec(request_body).map_err(|error| KvError::Refused {
        reason: error.to_string(),
    })?;
    Ok(Bytes::from(body))
}

fn post(address: SocketAddr, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, KvError> {
    Request::post(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| KvError::Refused {
            reason: error.to_string(),
        })
}

fn decode<ResponseBody>(response: &HttpResponse) -> Result<ResponseBody, KvError>
where
    ResponseBody: DeserializeOwned,
{
    if response.status == StatusCode::OK {
        return serde_json::from_slice(&response.body).map_err(malformed);
    }
    let error: ErrorBody = serde_json::from_slice(&response.body).unwrap_or_default();
    Err(status_error(response.status, &error.message))
}

fn into_watch(response: Response<Incoming>, connection: Connection) -> Result<EtcdWatch, KvError> {
    if response.status() != StatusCode::OK {
        return Err(status_error(response.status(), "watch was not opened"));
    }
    Ok(EtcdWatch::new(response.into_body(), connection))
}

/// Converts an error status. A 4xx status means that the call had no effect, except 408 (request
/// timeout) and 499 (canceled): there the service gave up, and the call may still take effect.
fn status_error(status: StatusCode, message: &str) -> KvError {
    let may_continue = status == StatusCode::REQUEST_TIMEOUT || status.as_u16() == 499;
    let reason = format!("status {}: {message}", status.as_u16());
    if status.is_client_error() && !may_continue {
        return KvError::Refused { reason };
    }
    KvError::Unknown { reason }
}

fn no_endpoint() -> KvError {
    KvError::Unreachable {
        endpoint: "(none)".to_owned(),
        reason: "no endpoint is set".to_owned(),
    }
}
