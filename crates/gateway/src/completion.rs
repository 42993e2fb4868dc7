//! The completion APIs: parses requests and formats responses.

use {
    crate::{
        CallerLeft, CompletionEvent, CompletionJob, CompletionStream, LastChunk, Refusal,
        RefusalKind, StreamSender, StreamedBody,
        respond::{self, HttpResponse},
        response_body::ResponseBody,
    },
    bytes::Bytes,
    catalog::{ClientAccountId, RequestId},
    serde::Deserialize,
    serde_json::{Value, json},
    std::fmt::Write,
};

/// Limit of generated tokens if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest limit of generated tokens that a caller may set.
const LARGEST_MAX_TOKENS: u32 = 32_768;

/// The completion API that a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionApi {
    /// `POST /v1/completions`.
    Text,
    /// `POST /v1/chat/completions`.
    Chat,
}

/// One chat message.
#[derive(Clone, Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Body of a completion request. Unknown fields are ignored, because clients of these APIs also
/// send fields that only other implementations support.
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
    /// Parses the JSON body of a request.
    ///
    /// # Errors
    /// [`Refusal`] of kind [`RefusalKind::Invalid`] that says what cannot be parsed.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(body).map_err(|error| invalid(format!("body: {error}; correct it")))
    }

    /// Converts the body to a job for the backend.
    ///
    /// # Errors
    /// [`Refusal`] of kind [`RefusalKind::Invalid`] that names the missing or invalid field.
    pub fn into_job(
        self,
        api: CompletionApi,
        request: RequestId,
        client_account: ClientAccountId,
    ) -> Result<CompletionJob, Refusal> {
        let max_tokens = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=LARGEST_MAX_TOKENS).contains(&max_tokens) {
            return Err(invalid(format!(
                "max_tokens: {max_tokens} is out of range; use 1 to {LARGEST_MAX_TOKENS}"
            )));
        }
        let prompt = match api {
            CompletionApi::Text => self.prompt.ok_or_else(|| missing("prompt"))?,
            CompletionApi::Chat => chat_prompt(&self.messages.ok_or_else(|| missing("messages"))?),
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

/// Joins the messages of a chat into one prompt: for each message a line with the role, then the
/// content.
fn chat_prompt(messages: &[Message]) -> String {
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

/// Formats the response to one completion request.
#[derive(Clone, Debug)]
pub(crate) struct ResponseFormatter {
    pub(crate) api: CompletionApi,
    pub(crate) request: RequestId,
    pub(crate) model: String,
}

impl ResponseFormatter {
    /// Streams the completion as server-sent events. Only a whole completion ends the response
    /// regularly. A truncated one ends with an `error` event and without the end marker `[DONE]`, and
    /// then the connection breaks off.
    pub(crate) fn stream(self, completion: CompletionStream) -> HttpResponse {
        let (sender, body) = StreamedBody::new(self.request.clone());
        tokio::spawn(async move {
            if let Err(CallerLeft) = self.send_events(completion, sender).await {
                log::debug!("the caller of request {} has left", self.request);
            }
        });
        let mut response = respond::with_body(200, "text/event-stream", ResponseBody::Stream(body));
        let no_store = hyper::header::HeaderValue::from_static("no-store");
        response
            .headers_mut()
            .insert(hyper::header::CACHE_CONTROL, no_store);
        response
    }

    /// Sends the events of the completion as they come. Drops the sender unless the completion becomes
    /// whole.
    async fn send_events(
        &self,
        mut completion: CompletionStream,
        mut sender: StreamSender,
    ) -> Result<(), CallerLeft> {
        while let Some(event) = completion.next().await {
            let chunk = self.format_event(&event);
            if let Some(last) = LastChunk::new(&event, chunk.clone()) {
                return sender.finish(last).await;
            }
            sender.send(chunk).await?;
            if let CompletionEvent::Failed(_) = event {
                return Ok(());
            }
        }
        sender.send(error_event(&interrupted())).await
    }

    /// Waits for the end of the completion and returns it as one JSON object, or the refusal if it
    /// failed.
    pub(crate) async fn whole(self, mut completion: CompletionStream) -> HttpResponse {
        let mut text = String::new();
        while let Some(event) = completion.next().await {
            match event {
                CompletionEvent::Text(delta) => text.push_str(&delta),
                CompletionEvent::Restart => text.clear(),
                CompletionEvent::Failed(refusal) => return respond::refusal(&refusal),
                CompletionEvent::End { .. } => {
                    let choice = match self.api {
                        CompletionApi::Text => json!({"text": text}),
                        CompletionApi::Chat => {
                            json!({"message": {"role": "assistant", "content": text}})
                        }
                    };
                    return respond::json(200, &self.object(choice, &event, false));
                }
            }
        }
        respond::refusal(&interrupted())
    }

    /// Formats one completion event as server-sent events.
    fn format_event(&self, event: &CompletionEvent) -> Bytes {
        let choice = |text: &str| match self.api {
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
            CompletionEvent::Restart => error_event(&interrupted()),
        }
    }

    /// Wraps a choice in the JSON object of the API, with the usage if the completion has ended.
    fn object(&self, mut choice: Value, event: &CompletionEvent, stream: bool) -> Value {
        choice["index"] = json!(0);
        choice["finish_reason"] = Value::Null;
        let name = match (self.api, stream) {
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

fn interrupted() -> Refusal {
    Refusal::unknown(
        RefusalKind::TargetFailed,
        "the answer was interrupted; send the request again",
    )
}

fn data_event(object: &Value) -> Bytes {
    format!("data: {object}\n\n").into()
}

fn error_event(refusal: &Refusal) -> Bytes {
    format!("event: error\ndata: {}\n\n", refusal.json()).into()
}
