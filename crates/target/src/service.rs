//! Client of one plain service.

use {
    crate::{Client, NamedRequest, Reuse, SendError, request},
    bytes::Bytes,
    catalog::RequestId,
    http_body_util::Full,
    hyper::{
        Method,
        header::{self, HeaderName, HeaderValue},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Longest time without a new part of an answer's body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A call to a plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceRequest {
    /// Path at the service, with a leading slash, and query if there is one.
    pub path: String,
    /// Body that the caller sent.
    pub body: Bytes,
    /// Content type that the caller sent; empty for none.
    pub content_type: String,
    /// Id of the request, sent as `x-request-id`.
    pub request_id: RequestId,
    /// Idempotency key of the caller, sent as `idempotency-key`; empty for none.
    pub idempotency_key: String,
    /// Client account, sent as `x-client-account`.
    pub client_account: String,
}

/// Complete answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if the service sent none.
    pub content_type: String,
    /// Complete body.
    pub body: Bytes,
}

/// Client of one plain service.
#[derive(Clone)]
pub struct ServiceClient {
    client: Client,
    address: SocketAddr,
}

impl ServiceClient {
    /// Creates a client of the service at `address`.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Sends a call at most once, over a new connection, and waits up to `timeout` for the head of
    /// its answer.
    ///
    /// # Errors
    /// [`SendError::NotSent`] or [`SendError::Refused`] if the call did not run; after any other
    /// error it may have run.
    pub async fn call(
        &self,
        call: &ServiceRequest,
        timeout: Duration,
    ) -> Result<ServiceAnswer, SendError> {
        let body = Full::new(call.body.clone());
        let mut request = request::build(body, Method::POST, &call.path, self.address);
        for (name, value) in [
            (header::CONTENT_TYPE, &call.content_type),
            (HeaderName::from_static("x-request-id"), &call.request_id),
            (
                HeaderName::from_static("idempotency-key"),
                &call.idempotency_key,
            ),
            (
                HeaderName::from_static("x-client-account"),
                &call.client_account,
            ),
        ] {
            if let (false, Ok(value)) = (value.is_empty(), HeaderValue::from_str(value)) {
                request.headers_mut().insert(name, value);
            }
        }
        let named = NamedRequest {
            request,
            id: &call.request_id,
        };
        let mut reply = self
            .client
            .send_named(self.address, named, Reuse::Fresh, timeout)
            .await?;
        let evidence = reply.check_id_header()?;
        if reply.headers().contains_key("x-outcome") {
            return Err(reply.into_error(BODY_READ_TIMEOUT, Some(evidence)).await);
        }
        Ok(ServiceAnswer {
            status: reply.status().as_u16(),
            content_type: header_text(&reply, &header::CONTENT_TYPE),
            body: reply.body(timeout.max(BODY_READ_TIMEOUT)).await?,
        })
    }
}

/// Text of a header; empty if it is missing or not ASCII.
fn header_text(reply: &crate::Reply, name: &HeaderName) -> String {
    reply
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
