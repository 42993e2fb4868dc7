//! Header format of the tests, with short header names.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{HeaderMap, Request, Uri, header::HeaderName, http::request},
    relay::{
        BadCall, Call, HeaderFormat, OutboundMetadata, Part, Prompt, ReplyMetadata, RetryAfter,
        Stated, TargetState, TargetStatements,
    },
    std::time::Duration,
    target::{Incarnation, IncarnationProbe},
};

/// Uses the names of metadata fields as header names.
#[derive(Clone, Copy, Debug)]
pub struct TestHeaderFormat;

impl HeaderFormat for TestHeaderFormat {
    fn parse_call(&self, head: &request::Parts) -> Result<Call, BadCall> {
        let text = |name: &str| head.headers.get(name).and_then(|it| it.to_str().ok());
        let id = text("id").ok_or(BadCall {
            field: "id",
            problem: "missing",
        })?;
        let parsed_prompt = text("parts").map(|parts| {
            let parts = parts.split(',').filter_map(|part| part.split_once(':'));
            let parts = parts.map(|(id, tokens)| Part {
                id: id.to_owned(),
                tokens: tokens.parse().unwrap(),
            });
            let parts: Vec<Part> = parts.collect();
            Prompt {
                model: "m".to_owned(),
                input_tokens: parts.iter().map(|part| part.tokens).sum(),
                parts,
                ..Prompt::default()
            }
        });
        Ok(Call {
            id: id.to_owned(),
            key: text("key").map(str::to_owned),
            time_limit: text("limit-ms").map(|it| Duration::from_millis(it.parse().unwrap())),
            prompt: parsed_prompt,
            last_event_id: text("last-event-id").and_then(|it| it.parse().ok()),
            resumes: text("resumes").map(str::to_owned),
        })
    }

    fn target_headers(&self, headers: &HeaderMap, metadata: &OutboundMetadata) -> HeaderMap {
        let mut out = headers.clone();
        out.remove("key");
        out.remove("account");
        let mut set = |name: &'static str, value: Option<String>| {
            if let Some(value) = value {
                out.insert(HeaderName::from_static(name), value.parse().unwrap());
            }
        };
        set("account", metadata.account.clone());
        set("target", Some(metadata.target.clone()));
        set("after", metadata.last_event_id.map(|it| it.to_string()));
        set("salt", metadata.salt.clone());
        let fetch = metadata.fetch_from.iter().flatten().next();
        set("fetch", fetch.map(ToString::to_string));
        let save = metadata.save_to.iter().flatten().next();
        set("save", save.map(ToString::to_string));
        out
    }

    fn peer_headers(&self, headers: &HeaderMap, _time_left: Duration) -> HeaderMap {
        let mut out = headers.clone();
        out.remove("connection");
        out
    }

    fn parse_reply(&self, headers: &HeaderMap) -> ReplyMetadata {
        let text = |name: &str| headers.get(name).and_then(|it| it.to_str().ok());
        ReplyMetadata {
            id: text("id").map(str::to_owned),
            has_proof: headers.contains_key("stamp"),
            not_run: headers.contains_key("not-run"),
            target: text("target").map(str::to_owned),
            version: text("version").and_then(|it| it.parse().ok()),
            statements: TargetStatements {
                is_leaving: text("leaving").map(|it| Stated::Valid(it == "1")),
                retry_after: text("retry-after").map(|it| match it.parse() {
                    Ok(delay_s) => {
                        Stated::Valid(RetryAfter::Delay(Duration::from_secs_f64(delay_s)))
                    }
                    Err(_) => Stated::Invalid,
                }),
                limit_per_s: text("limit").map(stated_rate),
                max_refusals_per_s: text("max-refusals").map(stated_rate),
                ..TargetStatements::default()
            },
        }
    }

    fn incarnation_probe(
        &self,
        target: &TargetState,
        _health_path: &str,
    ) -> Option<IncarnationProbe> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static("/identity");
        let expected = Incarnation::default()
            .target(target.id.clone())
            .started_unix_ms(target.started_unix_ms);
        Some(IncarnationProbe {
            request,
            id_header: Some(HeaderName::from_static("id")),
            expected,
            parse: |headers, _| {
                let text = |name: &str| headers.get(name).and_then(|it| it.to_str().ok());
                let stated = Incarnation {
                    target: text("target").map(str::to_owned),
                    started_unix_ms: text("started").and_then(|it| it.parse().ok()),
                };
                let is_refusal = headers.contains_key("not-run");
                (is_refusal || stated != Incarnation::default()).then_some(stated)
            },
        })
    }

    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap {
        let mut out = headers.clone();
        out.remove("transfer-encoding");
        out.remove("connection");
        out
    }
}

fn stated_rate(text: &str) -> Stated<f64> {
    let rate = text.parse().map(Stated::Valid);
    rate.unwrap_or(Stated::Invalid)
}
