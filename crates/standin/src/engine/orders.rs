//! Orders to an engine. Each states a desired state, so repeating one has no further effect.

use {
    super::Engine,
    crate::{
        client,
        http::{self, Answer, full},
    },
    hyper::{Request, StatusCode},
    serde::Deserialize,
    serde_json::{Value, json},
    tokio::time::sleep,
};

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct OrderRequest {
    fencing: u64,
    order: Order,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum Order {
    LoadVersion { version: String },
    LoadAdapter { adapter: String },
    SetRole { role: String },
}

impl Engine {
    pub(super) async fn answer_order(&self, body: Value) -> Answer {
        let call: OrderRequest = match serde_json::from_value(body) {
            Ok(call) => call,
            Err(error) => return http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if let Err(newest) = self.accept_fencing_number(call.fencing) {
            let body = json!({"error": {"type": "stale_fencing", "fencing": newest}});
            return http::json(StatusCode::CONFLICT, &body);
        }
        match call.order {
            Order::LoadVersion { version } => {
                if self.load_weights(&version).await.is_err() {
                    return http::error(StatusCode::BAD_GATEWAY, "weights_unavailable");
                }
                self.change_version(version);
            }
            Order::LoadAdapter { adapter } => {
                self.state().adapters.insert(adapter);
            }
            Order::SetRole { role } => self.state().role = role,
        }
        http::ok(&json!({"fencing": call.fencing}))
    }

    /// Records the fencing number of an order. The error is the highest number so far, if the
    /// number is lower and
    /// [`EngineSettings::checks_fencing`](super::EngineSettings::checks_fencing) is set.
    fn accept_fencing_number(&self, fencing: u64) -> Result<(), u64> {
        let mut state = self.state();
        if self.settings.checks_fencing && fencing < state.newest_fencing {
            return Err(state.newest_fencing);
        }
        state.newest_fencing = state.newest_fencing.max(fencing);
        state.audit.add_order(fencing);
        Ok(())
    }

    async fn load_weights(&self, version: &str) -> std::io::Result<()> {
        if self.state().version == version {
            return Ok(());
        }
        let Some(weights) = self.settings.weights else {
            sleep(self.settings.scaled(self.settings.load_time)).await;
            return Ok(());
        };
        let request = Request::get(format!("/v1/weights/{version}"))
            .body(full(Vec::new()))
            .map_err(std::io::Error::other)?;
        let (status, _, _) = client::fetch(weights, request).await?;
        if status == StatusCode::OK {
            return Ok(());
        }
        Err(std::io::Error::other(
            "weight store refused the request; check that it runs and has the version",
        ))
    }

    /// Changes the loaded version and evicts the blocks of the old one. Active runs continue with
    /// the version they started with.
    fn change_version(&self, version: String) {
        if self.state().version == version {
            return;
        }
        let is_overridden = self.switches.get().lie_version.is_some();
        self.state().version = version;
        // An engine that reports another version does not notice the change and keeps its blocks.
        if !is_overridden {
            self.evict_all();
        }
    }
}
