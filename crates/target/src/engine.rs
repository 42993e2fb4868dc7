//! Client of one model engine.

use {
    crate::{
        AnswerStream, CacheBlocks, CacheEvents, Client, CompletionRequest, ExportReply,
        ExportRequest, ImportReply, ImportRequest, LoadReport, NamedRequest, OrderReply, Reply,
        Reuse, SendError, engine_wire::OrderRequest, request,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request},
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of requests that an engine answers without running a model.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time without a new part of an answer's body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of one model engine. Cheap to create, since connections belong to the shared [`Client`].
#[derive(Clone)]
pub struct EngineClient {
    client: Client,
    address: SocketAddr,
}

impl EngineClient {
    /// Creates a client of the engine at `address`.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Starts a completion and waits up to `first_byte_timeout` for the head of its answer.
    ///
    /// # Errors
    /// Any [`SendError`].
    pub async fn complete(
        &self,
        completion: &CompletionRequest,
        reuse: Reuse,
        first_byte_timeout: Duration,
    ) -> Result<AnswerStream, SendError> {
        let request = request::post_json("/v1/completions", completion, self.address);
        let named = NamedRequest {
            request,
            id: &completion.request_id,
        };
        let reply = self
            .client
            .send_named(self.address, named, reuse, first_byte_timeout)
            .await?;
        self.answer_stream(reply, completion, 0).await
    }

    /// Resumes the answer of a run after `received_count` tokens, over a new connection.
    ///
    /// # Errors
    /// Any [`SendError`]; [`SendError::Failed`] with status 404 if the engine does not know the
    /// run.
    pub async fn resume(
        &self,
        completion: &CompletionRequest,
        received_count: u64,
        first_byte_timeout: Duration,
    ) -> Result<AnswerStream, SendError> {
        let path = format!(
            "/v1/runs/{}?from_token={received_count}",
            completion.request_id
        );
        let named = NamedRequest {
            request: self.empty_request(Method::GET, &path),
            id: &completion.request_id,
        };
        let reply = self
            .client
            .send_named(self.address, named, Reuse::Fresh, first_byte_timeout)
            .await?;
        self.answer_stream(reply, completion, received_count).await
    }

    /// Cancels a run. This is idempotent.
    ///
    /// # Errors
    /// Any [`SendError`].
    pub async fn cancel(&self, run: &str) -> Result<(), SendError> {
        let path = format!("/v1/runs/{run}");
        let request = self.empty_request(Method::DELETE, &path);
        let mut reply = self.send_control(request).await?;
        reply.delimited_body(BODY_READ_TIMEOUT).await?;
        Ok(())
    }

    /// Reads the engine's load report.
    ///
    /// # Errors
    /// Any [`SendError`].
    pub async fn load(&self) -> Result<LoadReport, SendError> {
        let reply = self
            .send_control(self.empty_request(Method::GET, "/v1/load"))
            .await?;
        reply.json(BODY_READ_TIMEOUT).await
    }

    /// Reads the cache events after sequence number `after`. The engine waits up to a second for
    /// the first one.
    ///
    /// # Errors
    /// Any [`SendError`].
    pub async fn cache_events(&self, after: u64) -> Result<CacheEvents, SendError> {
        let path = format!("/v1/cache/events?after={after}");
        let reply = self
            .send_control(self.empty_request(Method::GET, &path))
            .await?;
        reply.json(BODY_READ_TIMEOUT).await
    }

    /// Reads the list of all blocks in engine memory.
    ///
    /// # Errors
    /// Any [`SendError`].
    pub async fn cache_blocks(&self) -> Result<CacheBlocks, SendError> {
        let reply = self
            .send_control(self.empty_request(Method::GET, "/v1/cache/blocks"))
            .await?;
        reply.json(BODY_READ_TIMEOUT).await
    }

    /// Makes the engine write blocks to a store, and waits up to `timeout` for its answer.
    ///
    /// # Errors
    /// Any [`SendError`]; after [`SendError::Unknown`] the store may hold some of the blocks.
    pub async fn export(
        &self,
        export: &ExportRequest,
        timeout: Duration,
    ) -> Result<ExportReply, SendError> {
        self.transfer("/v1/kv/export", export, timeout).await
    }

    /// Makes the engine read blocks from a store, and waits up to `timeout` for its answer.
    ///
    /// # Errors
    /// Any [`SendError`].
    pub async fn import(
        &self,
        import: &ImportRequest,
        timeout: Duration,
    ) -> Result<ImportReply, SendError> {
        self.transfer("/v1/kv/import", import, timeout).await
    }

    /// Orders the engine to reach a desired state. `fencing` is the fencing token of the order
    /// holder; `order` is serialized as `docs/PROTOCOLS.md` specifies.
    ///
    /// # Errors
    /// Any [`SendError`]; [`SendError::Refused`] with `stale_fencing` from engines that check the
    /// token.
    pub async fn order<Order>(&self, fencing: u64, order: &Order) -> Result<OrderReply, SendError>
    where
        Order: Serialize,
    {
        let request =
            request::post_json("/v1/orders", &OrderRequest { fencing, order }, self.address);
        let reply = self
            .client
            .send(self.address, request, Reuse::Fresh, CONTROL_TIMEOUT)
            .await?;
        reply.json(BODY_READ_TIMEOUT).await
    }

    async fn transfer<Body, Value>(
        &self,
        path: &str,
        body: &Body,
        timeout: Duration,
    ) -> Result<Value, SendError>
    where
        Body: Serialize,
        Value: serde::de::DeserializeOwned,
    {
        let reply = self
            .client
            .send(
                self.address,
                request::post_json(path, body, self.address),
                Reuse::Fresh,
                timeout,
            )
            .await?;
        reply.json(BODY_READ_TIMEOUT).await
    }

    /// Sends a request that the engine answers quickly. After a failure, idle connections are
    /// closed, since they may be broken too.
    async fn send_control(&self, request: Request<Full<Bytes>>) -> Result<Reply, SendError> {
        let sent = self
            .client
            .send(self.address, request, Reuse::Allowed, CONTROL_TIMEOUT)
            .await;
        if sent.is_err() {
            self.client.close_idle(self.address);
        }
        sent
    }

    async fn answer_stream(
        &self,
        mut reply: Reply,
        completion: &CompletionRequest,
        received_count: u64,
    ) -> Result<AnswerStream, SendError> {
        if !reply.status().is_success() {
            let evidence = reply.check_id_header()?;
            return Err(reply.into_error(BODY_READ_TIMEOUT, Some(evidence)).await);
        }
        Ok(AnswerStream::new(
            reply,
            completion.request_id.clone(),
            completion.version.clone(),
            received_count,
        ))
    }

    fn empty_request(&self, method: Method, path: &str) -> Request<Full<Bytes>> {
        request::without_body(method, path, self.address)
    }
}
