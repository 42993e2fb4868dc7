//! HTTP routes of the store instance.

use {
    super::{Store, StoreError, Tier},
    crate::http::{self, Answer, Cut, broken_connection, header, query, streamed},
    bytes::Bytes,
    futures::{Stream, stream},
    http_body_util::BodyExt,
    hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue},
    serde_json::json,
    std::{collections::HashMap, io, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Bytes of a block sent or received at a time over the link.
const CHUNK_BYTES: usize = 64 * 1024;

/// Additional time of a read from disk, before the time scale is applied.
const DISK_READ_TIME: Duration = Duration::from_millis(5);

/// Number of blocks per page of the list if the request sets no limit.
const DEFAULT_LIST_LIMIT: usize = 1_000;

pub(super) async fn answer(store: Arc<Store>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let parameters = query(&request);
    if let Some(key) = http::path_rest(&request, "/v1/blocks/") {
        return match *request.method() {
            Method::PUT => store.answer_write(&key, &parameters, request).await,
            Method::GET => store.answer_read(&key, &parameters).await,
            Method::DELETE => store.answer_free(&key, &parameters),
            _ => http::not_found(),
        };
    }
    match path.as_str() {
        "/v1/blocks" => store.answer_list(&parameters),
        "/v1/usage" => store.answer_usage(),
        "/v1/ledger" => http::ok(&store.ledger()),
        "/health" => http::empty(StatusCode::OK),
        _ => http::not_found(),
    }
}

/// A write in progress. Dropping it aborts the write, for example because the connection ended.
struct ActiveWrite {
    store: Arc<Store>,
    epoch: u64,
    key: String,
    generation: u64,
}

impl ActiveWrite {
    /// Receives the whole body at the rate of the link. After `stop_at` bytes, the store loses all
    /// its content and the connection is closed.
    async fn receive(&self, request: Request<Incoming>, stop_at: Option<u64>) -> Result<(), Cut> {
        let mut body = request.into_body();
        let mut received = 0;
        while let Some(frame) = body.frame().await {
            let Ok(bytes) = frame.map_err(|_| Cut)?.into_data() else {
                continue;
            };
            for chunk in bytes.chunks(CHUNK_BYTES) {
                self.store.link.transfer(chunk.len() as u64).await;
                self.store
                    .blocks()
                    .append(self.epoch, &self.key, self.generation, chunk);
                received += chunk.len() as u64;
                if stop_at.is_some_and(|stop_at| received >= stop_at) {
                    self.store.blocks().lose_all();
                    return Err(Cut);
                }
            }
        }
        Ok(())
    }
}

impl Drop for ActiveWrite {
    fn drop(&mut self) {
        self.store
            .blocks()
            .abort(self.epoch, &self.key, self.generation);
    }
}

impl Store {
    async fn answer_write(
        self: &Arc<Self>,
        key: &str,
        parameters: &HashMap<String, String>,
        request: Request<Incoming>,
    ) -> Answer {
        let generation = u64_parameter(parameters, "generation");
        let size_bytes = u64_parameter(parameters, "size_bytes");
        let account = parameters.get("client_account").map_or("", String::as_str);
        let checksum = header(&request, "x-checksum");
        if self.switches.get().full {
            return error_response(StoreError::Full);
        }
        let started = self.blocks().begin(key, generation, size_bytes, account);
        let epoch = match started {
            Ok(epoch) => epoch,
            Err(error) => return error_response(error),
        };
        let write = ActiveWrite {
            store: Arc::clone(self),
            epoch,
            key: key.to_owned(),
            generation,
        };
        let dies_midway = self
            .switches
            .update(|faults| std::mem::take(&mut faults.die_mid_write));
        let received = write
            .receive(request, dies_midway.then_some(size_bytes / 2))
            .await;
        if received.is_err() {
            self.record(|ledger| ledger.failed_write_count += 1);
            return Err(Cut);
        }
        let committed = self.blocks().commit(epoch, key, generation, &checksum);
        match committed {
            Ok(()) => {
                self.record(|ledger| ledger.commit_count += 1);
                http::empty(StatusCode::CREATED)
            }
            Err(error) => {
                self.record(|ledger| ledger.failed_write_count += 1);
                error_response(error)
            }
        }
    }

    async fn answer_read(
        self: &Arc<Self>,
        key: &str,
        parameters: &HashMap<String, String>,
    ) -> Answer {
        let generation = u64_parameter(parameters, "generation");
        let found = self.blocks().read(key, generation);
        let (content, tier) = match found {
            Ok(found) => found,
            Err(_) if self.settings.unsafe_reads => return self.answer_unsafe_read(key),
            Err(error) => {
                self.record(|ledger| ledger.refused_read_count += 1);
                return error_response(error);
            }
        };
        if tier == Tier::Disk {
            sleep(DISK_READ_TIME.mul_f64(self.settings.time_scale)).await;
        }
        let checksum = blake3::hash(&content).to_hex().to_string();
        let content = self.apply_corruption(content);
        let body = self.stream_committed(key.to_owned(), generation, content);
        Ok(block_response(&checksum, streamed(body)))
    }

    fn answer_unsafe_read(&self, key: &str) -> Answer {
        let Some(content) = self.blocks().read_unsafe(key) else {
            return error_response(StoreError::NotFound);
        };
        self.record(|ledger| ledger.unsafe_read_count += 1);
        let checksum = blake3::hash(&content).to_hex().to_string();
        Ok(block_response(&checksum, http::full(content)))
    }

    /// Flips a bit of one byte if the `corrupt` switch is set, and clears the switch.
    fn apply_corruption(&self, content: Bytes) -> Bytes {
        let corrupt = self
            .switches
            .update(|faults| std::mem::take(&mut faults.corrupt));
        if !corrupt || content.is_empty() {
            return content;
        }
        let mut altered = content.to_vec();
        let middle = altered.len() / 2;
        altered[middle] ^= 1;
        altered.into()
    }

    /// Sends the content at the rate of the link. Breaks the connection once the block is no longer
    /// committed.
    fn stream_committed(
        self: &Arc<Self>,
        key: String,
        generation: u64,
        content: Bytes,
    ) -> impl Stream<Item = io::Result<Bytes>> + Send + use<> {
        let start = (Arc::clone(self), key, content, false);
        stream::unfold(start, move |(store, key, mut rest, ended)| async move {
            if ended {
                return None;
            }
            let chunk = rest.split_to(rest.len().min(CHUNK_BYTES));
            store.link.transfer(chunk.len() as u64).await;
            if store.blocks().read(&key, generation).is_err() {
                store.record(|ledger| ledger.cut_read_count += 1);
                return Some((Err(broken_connection().await), (store, key, rest, true)));
            }
            let last = rest.is_empty();
            if last {
                store.record(|ledger| ledger.read_count += 1);
            }
            Some((Ok(chunk), (store, key, rest, last)))
        })
    }

    fn answer_free(&self, key: &str, parameters: &HashMap<String, String>) -> Answer {
        let freed = self
            .blocks()
            .free(key, u64_parameter(parameters, "generation"));
        if freed {
            self.record(|ledger| ledger.free_count += 1);
        }
        http::empty(StatusCode::OK)
    }

    fn answer_list(&self, parameters: &HashMap<String, String>) -> Answer {
        let after = parameters.get("after").map_or("", String::as_str);
        let limit = match usize::try_from(u64_parameter(parameters, "limit")) {
            Ok(limit @ 1..) => limit,
            _ => DEFAULT_LIST_LIMIT,
        };
        let blocks = self.blocks().list(after, limit);
        let full_page = blocks.len() == limit;
        let next = blocks.last().map(|block| block.key.clone());
        let mut page = json!({"blocks": blocks});
        if let Some(next) = next.filter(|_| full_page) {
            page["next"] = next.into();
        }
        http::ok(&page)
    }

    fn answer_usage(&self) -> Answer {
        let blocks = self.blocks();
        http::ok(&json!({
            "capacity_bytes": blocks.capacity_bytes(),
            "used_bytes": blocks.used_bytes(),
            "link_bytes_per_s": self.link.bytes_per_s(),
            "link_queued_bytes": self.link.queued_bytes(),
            "link_carried_bytes": self.link.carried_bytes(),
            "age_ms": 0,
        }))
    }
}

fn block_response(checksum: &str, body: http::Body) -> Response<http::Body> {
    let mut response = Response::new(body);
    if let Ok(value) = HeaderValue::from_str(checksum) {
        response.headers_mut().insert("x-checksum", value);
    }
    response
}

fn error_response(error: StoreError) -> Answer {
    let status = match error {
        StoreError::NotFound => StatusCode::NOT_FOUND,
        StoreError::OtherGeneration => StatusCode::CONFLICT,
        StoreError::StillWriting => StatusCode::TOO_EARLY,
        StoreError::Full => StatusCode::INSUFFICIENT_STORAGE,
        StoreError::Mismatch => StatusCode::BAD_REQUEST,
    };
    http::error(status, &error.to_string())
}

/// Query parameter as a number; 0 if it is missing or not a number.
fn u64_parameter(parameters: &HashMap<String, String>, name: &str) -> u64 {
    parameters
        .get(name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
