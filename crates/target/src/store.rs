//! Client of one store instance.

use {
    crate::{Client, Reuse, SendError, readable_entries::deserialize_readable, request},
    catalog::ClientAccountId,
    hyper::{Method, StatusCode},
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of requests to a store, and longest time without a new part of an answer's body.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Blocks requested per page.
const PAGE_BLOCK_COUNT: usize = 1_000;
/// Bytes that are escaped in a key. The others mean themselves both in a URI and in a form.
const ESCAPED_BYTES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// A block at a store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreBlock {
    /// Block key in hex.
    pub key: String,
    /// Generation of the block at the store.
    pub generation: u64,
    /// Size in bytes.
    pub size_bytes: u64,
    /// Client account that the block belongs to.
    pub client_account: ClientAccountId,
    /// `writing` or `committed`.
    pub state: String,
}

/// One page of a store's content.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreBlocks {
    /// Blocks in key order, without those that can't be read.
    #[serde(deserialize_with = "deserialize_readable")]
    pub blocks: Vec<StoreBlock>,
    /// Key to continue after for the next page; `None` on the last page.
    #[serde(default)]
    pub next: Option<String>,
}

/// Storage and link usage of a store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreUsage {
    /// Capacity in bytes.
    pub capacity_bytes: u64,
    /// Bytes in use.
    pub used_bytes: u64,
    /// Data rate of the store's link in bytes per second.
    pub link_bytes_per_s: f64,
    /// Bytes queued for the link.
    #[serde(default)]
    pub link_queued_bytes: u64,
    /// Age of these values in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// Client of one store instance.
#[derive(Clone)]
pub struct StoreClient {
    client: Client,
    address: SocketAddr,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Deletes a generation of a block. This is idempotent.
    ///
    /// # Errors
    /// Any [`SendError`].
    pub async fn free(&self, key: &str, generation: u64) -> Result<(), SendError> {
        let key = escape(key);
        let path = format!("/v1/blocks/{key}?generation={generation}");
        let request = request::without_body(Method::DELETE, &path, self.address);
        let mut reply = self
            .client
            .send(self.address, request, Reuse::Allowed, CONTROL_TIMEOUT)
            .await?;
        if reply.status().is_success() || reply.status() == StatusCode::NOT_FOUND {
            reply.delimited_body(CONTROL_TIMEOUT).await?;
            return Ok(());
        }
        Err(reply.into_error(CONTROL_TIMEOUT, None).await)
    }

    /// Reads one page of the store's blocks, after the key `after` (empty for the first page).
    ///
    /// # Errors
    /// Any [`SendError`], also if the next page would not be after this one, so that reading on would not
    /// end.
    pub async fn blocks(&self, after: &str) -> Result<StoreBlocks, SendError> {
        let escaped = escape(after);
        let path = format!("/v1/blocks?after={escaped}&limit={PAGE_BLOCK_COUNT}");
        let page: StoreBlocks = self.get(&path).await?;
        if page.next.as_deref().is_some_and(|next| next <= after) {
            return Err(SendError::Failed {
                address: self.address,
                status: StatusCode::OK.as_u16(),
                reason: format!("the list does not go on after {after:?}; check the store"),
            });
        }
        Ok(page)
    }

    /// Reads the store's storage and link usage.
    ///
    /// # Errors
    /// Any [`SendError`].
    pub async fn usage(&self) -> Result<StoreUsage, SendError> {
        self.get("/v1/usage").await
    }

    async fn get<Value>(&self, path: &str) -> Result<Value, SendError>
    where
        Value: serde::de::DeserializeOwned,
    {
        let request = request::without_body(Method::GET, path, self.address);
        let sent = self
            .client
            .send(self.address, request, Reuse::Allowed, CONTROL_TIMEOUT)
            .await;
        if sent.is_err() {
            self.client.close_idle(self.address);
        }
        sent?.json(CONTROL_TIMEOUT).await
    }
}

fn escape(key: &str) -> String {
    utf8_percent_encode(key, ESCAPED_BYTES).to_string()
}
