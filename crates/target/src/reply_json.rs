//! Answers of the product's own interface: JSON, and errors that say whether the request ran.

use {
    crate::{AnswersRequest, Reply, SendError},
    serde::{Deserialize, de::DeserializeOwned},
    std::time::Duration,
};

#[derive(Deserialize)]
struct ErrorResponse {
    error: ErrorBody,
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(rename = "type")]
    kind: String,
    retry_after_ms: Option<u64>,
}

impl Reply {
    /// Reads the whole body of a successful answer as JSON.
    ///
    /// # Errors
    /// As [`Self::body`]; [`SendError::Refused`] or [`SendError::Failed`] for other statuses, and
    /// [`SendError::Failed`] for invalid JSON.
    pub async fn json<Value>(mut self, body_timeout: Duration) -> Result<Value, SendError>
    where
        Value: DeserializeOwned,
    {
        if !self.status().is_success() {
            return Err(self.into_error(body_timeout, None).await);
        }
        let body = self.delimited_body(body_timeout).await?;
        // Bytes that are no text are replaced, so that only the entries that hold them can't be used.
        let text = String::from_utf8_lossy(&body);
        serde_json::from_str(&text).map_err(|error| SendError::Failed {
            address: self.address(),
            status: self.status().as_u16(),
            reason: format!("unreadable answer: {error}"),
        })
    }

    /// Reads an unsuccessful answer as an error: [`SendError::Refused`] if it states that the
    /// request did not run, otherwise [`SendError::Failed`].
    ///
    /// Without evidence that the answer belongs to this request, its statement counts only on a
    /// connection that carried no other one.
    pub async fn into_error(
        mut self,
        body_timeout: Duration,
        evidence: Option<AnswersRequest>,
    ) -> SendError {
        let is_attributed = evidence.is_some() || self.is_first_of_connection();
        let status = self.status();
        let body = match self.delimited_body(body_timeout).await {
            Ok(body) => body,
            Err(error) => return error,
        };
        let parsed: Option<ErrorResponse> = serde_json::from_slice(&body).ok();
        let is_not_run = self
            .headers()
            .get("x-outcome")
            .is_some_and(|outcome| outcome == "not_run");
        let kind = parsed
            .as_ref()
            .map_or("", |parsed| parsed.error.kind.as_str());
        let is_refused = is_not_run
            || matches!(
                kind,
                "version_mismatch" | "leaving" | "full" | "stale_fencing"
            );
        if is_refused && is_attributed {
            return SendError::Refused {
                address: self.address(),
                reason: if kind.is_empty() { "not_run" } else { kind }.to_owned(),
                retry_after: parsed
                    .and_then(|parsed| parsed.error.retry_after_ms.map(Duration::from_millis)),
            };
        }
        SendError::Failed {
            address: self.address(),
            status: status.as_u16(),
            reason: String::from_utf8_lossy(&body).chars().take(200).collect(),
        }
    }
}
