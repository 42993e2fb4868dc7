//! Export of blocks to a store instance and import from it.

use {
    super::{Engine, cache::CacheKey},
    crate::{
        client,
        content::{ContentFault, block_content, check_content},
        http::{self, Answer, broken_connection, full, streamed},
    },
    bytes::Bytes,
    futures::{StreamExt, stream},
    hyper::{Request, StatusCode},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{io, net::SocketAddr},
};

/// Request body of an export or import.
#[derive(Clone, Debug, Deserialize)]
struct TransferRequest {
    store: SocketAddr,
    version: String,
    blocks: Vec<TransferBlock>,
}

#[derive(Clone, Debug, Deserialize)]
struct TransferBlock {
    key: String,
    generation: u64,
    #[serde(default)]
    size_bytes: u64,
    #[serde(default)]
    client_account: String,
}

#[derive(Clone, Debug, Serialize)]
struct FailedBlock {
    key: String,
    error: String,
}

impl Engine {
    /// Answers `POST /v1/kv/export`.
    pub(super) async fn answer_export(&self, body: Value) -> Answer {
        let transfer: TransferRequest = match serde_json::from_value(body) {
            Ok(transfer) => transfer,
            Err(error) => return http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if let Some(refused) = self.version_mismatch(&transfer.version) {
            return refused;
        }
        let cut_at = self
            .switches
            .update(|faults| faults.export_cut_blocks.take());
        let mut exported = Vec::new();
        let mut failed = Vec::new();
        let mut link_bytes = 0;
        let mut cut = false;
        for (index, block) in transfer.blocks.iter().enumerate() {
            let cut_here = cut_at == Some(index as u64 + 1);
            cut |= cut_here;
            if cut && !cut_here {
                failed.push(block.failed("export was cut off before this block; export it again"));
                continue;
            }
            match self.export_block(&transfer, block, cut_here).await {
                Ok(bytes) => {
                    link_bytes += bytes;
                    exported.push(json!({
                        "key": block.key,
                        "generation": block.generation,
                        "size_bytes": bytes,
                    }));
                }
                Err(error) => failed.push(block.failed(&error.to_string())),
            }
        }
        http::ok(&json!({"exported": exported, "failed": failed, "link_bytes": link_bytes}))
    }

    /// Answers `POST /v1/kv/import`.
    pub(super) async fn answer_import(&self, body: Value) -> Answer {
        let transfer: TransferRequest = match serde_json::from_value(body) {
            Ok(transfer) => transfer,
            Err(error) => return http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if let Some(refused) = self.version_mismatch(&transfer.version) {
            return refused;
        }
        let mut imported = Vec::new();
        let mut failed = Vec::new();
        let mut link_bytes = 0;
        for block in &transfer.blocks {
            match self.import_block(&transfer, block).await {
                Ok(bytes) => {
                    link_bytes += bytes;
                    imported.push(block.key.clone());
                }
                Err(error) => failed.push(block.failed(&error.to_string())),
            }
        }
        http::ok(&json!({"imported": imported, "failed": failed, "link_bytes": link_bytes}))
    }

    /// The `409` response if `expected` is not the version that the engine reports.
    pub(super) fn version_mismatch(&self, expected: &str) -> Option<Answer> {
        let reported = self.reported_version(&self.state());
        if expected == reported {
            return None;
        }
        let body = json!({"error": {"type": "version_mismatch", "version": reported}});
        Some(http::json(StatusCode::CONFLICT, &body))
    }

    async fn export_block(
        &self,
        transfer: &TransferRequest,
        block: &TransferBlock,
        cut: bool,
    ) -> io::Result<u64> {
        let cached = self
            .state()
            .cache
            .content_version(&transfer.version, &block.key);
        let Some(content_version) = cached else {
            return Err(io::Error::other(
                "block is not in the prefix cache; compute it first",
            ));
        };
        let size = self.settings.block_bytes();
        if block.size_bytes != 0 && block.size_bytes != size {
            return Err(io::Error::other(format!(
                "block has {size} bytes; send this size_bytes or 0"
            )));
        }
        let length = usize::try_from(size).map_err(io::Error::other)?;
        let content = block_content(&block.key, &content_version, length);
        let checksum = blake3::hash(&content).to_hex();
        self.link.transfer(size).await;
        let body = if cut {
            let half = content.slice(..length / 2);
            streamed(
                stream::once(async { Ok(half) })
                    .chain(stream::once(async { Err(broken_connection().await) })),
            )
        } else {
            full(content)
        };
        let uri = format!(
            "/v1/blocks/{}?generation={}&size_bytes={size}&client_account={}",
            block.key, block.generation, block.client_account
        );
        let request = Request::put(uri)
            .header("x-checksum", checksum.as_str())
            .body(body)
            .map_err(io::Error::other)?;
        let (status, _, _) = client::fetch(transfer.store, request).await?;
        if status.is_success() {
            return Ok(size);
        }
        Err(io::Error::other(format!("store answered {status}")))
    }

    async fn import_block(
        &self,
        transfer: &TransferRequest,
        block: &TransferBlock,
    ) -> io::Result<u64> {
        let uri = format!("/v1/blocks/{}?generation={}", block.key, block.generation);
        let request = Request::get(uri)
            .body(full(Bytes::new()))
            .map_err(io::Error::other)?;
        let (status, checksum, content) = client::fetch(transfer.store, request).await?;
        if status != StatusCode::OK {
            return Err(io::Error::other(format!("store answered {status}")));
        }
        let bytes = content.len() as u64;
        self.link.transfer(bytes).await;
        if checksum.as_deref() != Some(blake3::hash(&content).to_hex().as_str()) {
            return Err(io::Error::other(
                "block checksum does not match; import it again",
            ));
        }
        self.check_and_cache_block(transfer, block, &content)?;
        Ok(bytes)
    }

    /// Checks the content and adds the block to the prefix cache if the version is still the same.
    fn check_and_cache_block(
        &self,
        transfer: &TransferRequest,
        block: &TransferBlock,
        content: &[u8],
    ) -> io::Result<()> {
        let mut state = self.state();
        if self.reported_version(&state) != transfer.version {
            return Err(io::Error::other(
                "engine changed its version during the import; import blocks of the new version",
            ));
        }
        let size = usize::try_from(self.settings.block_bytes()).map_err(io::Error::other)?;
        if let Err(fault) = check_content(&block.key, &transfer.version, size, content) {
            let count = match fault {
                ContentFault::WrongVersion => &mut state.audit.wrong_version_blocks,
                ContentFault::WrongKey => &mut state.audit.foreign_blocks,
                ContentFault::Torn => &mut state.audit.partial_blocks,
            };
            *count += 1;
            return Err(io::Error::other(format!(
                "block content is wrong: {fault:?}; use another copy"
            )));
        }
        let key = CacheKey {
            salt: None,
            version: transfer.version.clone(),
            key: block.key.clone(),
        };
        self.cache_block(&mut state, key, transfer.version.clone());
        Ok(())
    }
}

impl TransferBlock {
    fn failed(&self, error: &str) -> FailedBlock {
        FailedBlock {
            key: self.key.clone(),
            error: error.to_owned(),
        }
    }
}
