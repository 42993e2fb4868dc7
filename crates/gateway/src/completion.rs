//! The completions API: reading requests, shaping answers.

use {
    crate::{
        CompletionEvent, CompletionJob, CompletionStream, Refusal, RefusalKind,
        respond::{self, HttpResponse},
        response_body::ResponseBody,
    },
    bytes::Bytes,
    catalog::{ClientAccountId, RequestId},
    futures::{SinkExt, channel::mpsc},
    serde::Deserialize,
    serde_json::{Value, json},
    std::fmt::Write,
};

/// Answer tokens if the caller names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Answer tokens that a caller may ask for.
const MAX_MAX_TOKENS: u32 = 32_768;
/// Parts of an answer that wait for a slow caller before the run is slowed down.
const STREAM_BUFFER_PARTS: usize = 64;

/// Which of the two completion interfaces a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionApi {
    /// `POST /v1/completions`.
    Text,
    /// `POST /v1/chat/completions`.
    Chat,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Body of a completion request. Fields that other implementations know and this one does not
/// are ignored, as callers expect of this interface.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

impl CompletionBody {
    /// Reads the JSON body of a request.
    ///
    /// # Errors
    /// [`Refusal`] of kind [`RefusalKind::Invalid`] that names what cannot be read.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(body).map_err(|error| invalid(format!("body: {error}; correct it")))
    }

    /// The job that the body asks for.
    ///
    /// # Errors
    /// [`Refusal`] of kind [`RefusalKind::Invalid`] that names the field.
    pub fn into_job(
        self,
        shape: CompletionApi,
        request: RequestId,
        client_account: ClientAccountId,
    ) -> Result<CompletionJob, Refusal> {
        let max_tokens = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_MAX_TOKENS).contains(&max_tokens) {
            return Err(invalid(format!(
                "max_tokens: {max_tokens} is out of range; use 1 to {MAX_MAX_TOKENS}"
            )));
        }
        let prompt = match shape {
            CompletionApi::Text => self.prompt.ok_or_else(|| missing("prompt"))?,
            CompletionApi::Chat => flatten(&self.messages.ok_or_else(|| missing("messages"))?),
        };
        if prompt.is_empty() {
            return Err(missing("prompt"));
        }
        Ok(CompletionJob {
            request,
            client_account,
            model: self.model,
            prompt,
            max_tokens,
            stream: self.stream,
            idempotency_key: None,
        })
    }
}

/// The text of a chat: one line for the role, then the content, message after message.
fn flatten(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        let _ = writeln!(prompt, "<|{}|>\n{}", message.role, message.content);
    }
    prompt
}

fn invalid(message: String) -> Refusal {
    Refusal::not_run(RefusalKind::Invalid, message)
}

fn missing(field: &str) -> Refusal {
    invalid(format!("{field}: is missing or empty; add it"))
}

/// Shapes the events of one answer.
#[derive(Clone, Debug)]
pub(crate) struct ResponseFormatter {
    pub(crate) shape: CompletionApi,
    pub(crate) request: RequestId,
    pub(crate) model: String,
}

impl ResponseFormatter {
    /// Answers with server-sent events. A broken answer ends with an `error` event and without
    /// the end marker.
    pub(crate) fn stream(self, mut started: CompletionStream) -> HttpResponse {
        let (mut parts, body) = mpsc::channel(STREAM_BUFFER_PARTS);
        tokio::spawn(async move {
            let mut ended = false;
            while let Some(event) = started.next().await {
                ended = matches!(
                    event,
                    CompletionEvent::End { .. } | CompletionEvent::Failed(_)
                );
                if parts.send(self.event(&event)).await.is_err() || ended {
                    break;
                }
            }
            if !ended {
                let _ = parts.send(error_event(&broken_off())).await;
            }
        });
        let mut answer = respond::with_body(200, "text/event-stream", ResponseBody::Stream(body));
        let no_store = hyper::header::HeaderValue::from_static("no-store");
        answer
            .headers_mut()
            .insert(hyper::header::CACHE_CONTROL, no_store);
        answer
    }

    /// Answers with one JSON object once the answer is whole, or with its refusal.
    pub(crate) async fn whole(self, mut started: CompletionStream) -> HttpResponse {
        let mut text = String::new();
        while let Some(event) = started.next().await {
            match event {
                CompletionEvent::Text(part) => text.push_str(&part),
                CompletionEvent::Restart => text.clear(),
                CompletionEvent::Failed(refusal) => return respond::refusal(&refusal),
                CompletionEvent::End { .. } => {
                    let choice = match self.shape {
                        CompletionApi::Text => json!({"text": text}),
                        CompletionApi::Chat => {
                            json!({"message": {"role": "assistant", "content": text}})
                        }
                    };
                    return respond::json(200, &self.object(choice, &event, false));
                }
            }
        }
        respond::refusal(&broken_off())
    }

    fn event(&self, event: &CompletionEvent) -> Bytes {
        let choice = |text: &str| match self.shape {
            CompletionApi::Text => json!({"text": text}),
            CompletionApi::Chat => json!({"delta": {"content": text}}),
        };
        match event {
            CompletionEvent::Text(text) => data_event(&self.object(choice(text), event, true)),
            CompletionEvent::End { .. } => {
                let mut last = data_event(&self.object(choice(""), event, true)).to_vec();
                last.extend_from_slice(b"data: [DONE]\n\n");
                last.into()
            }
            CompletionEvent::Failed(refusal) => error_event(refusal),
            CompletionEvent::Restart => error_event(&broken_off()),
        }
    }

    fn object(&self, mut choice: Value, event: &CompletionEvent, stream: bool) -> Value {
        choice["index"] = json!(0);
        choice["finish_reason"] = Value::Null;
        let name = match (self.shape, stream) {
            (CompletionApi::Text, _) => "text_completion",
            (CompletionApi::Chat, true) => "chat.completion.chunk",
            (CompletionApi::Chat, false) => "chat.completion",
        };
        let mut object = json!({"id": self.request, "object": name, "model": self.model});
        if let CompletionEvent::End {
            finish_reason,
            prompt_tokens,
            cached_tokens,
            completion_tokens,
        } = event
        {
            choice["finish_reason"] = json!(finish_reason);
            object["usage"] = json!({
                "prompt_tokens": prompt_tokens,
                "completion_tokens": completion_tokens,
                "total_tokens": prompt_tokens + completion_tokens,
                "prompt_tokens_details": {"cached_tokens": cached_tokens},
            });
        }
        object["choices"] = json!([choice]);
        object
    }
}

fn broken_off() -> Refusal {
    Refusal::unknown(
        RefusalKind::TargetFailed,
        "the answer broke off; send the request again",
    )
}

fn data_event(object: &Value) -> Bytes {
    format!("data: {object}\n\n").into()
}

fn error_event(refusal: &Refusal) -> Bytes {
    format!("event: error\ndata: {}\n\n", refusal.json()).into()
}
