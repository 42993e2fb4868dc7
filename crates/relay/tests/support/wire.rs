//! Headers of the tests' own.

use {
    hyper::{HeaderMap, header::HeaderName, http::request},
    relay::{BadCall, Call, HeaderFormat, OutboundMetadata, Part, Prompt, ReplyMetadata},
};

/// The product's words as header names.
#[derive(Clone, Copy, Debug)]
pub struct TestWire;

impl HeaderFormat for TestWire {
    fn parse_call(&self, head: &request::Parts) -> Result<Call, BadCall> {
        let text = |name: &str| head.headers.get(name).and_then(|it| it.to_str().ok());
        let id = text("id").ok_or(BadCall {
            field: "id",
            problem: "missing",
        })?;
        let parts = text("parts").map(|parts| {
            let parts = parts.split(',').filter_map(|part| part.split_once(':'));
            let parts = parts.map(|(id, tokens)| Part {
                id: id.to_owned(),
                tokens: tokens.parse().unwrap(),
            });
            Prompt {
                model: "m".to_owned(),
                parts: parts.collect(),
                ..Prompt::default()
            }
        });
        Ok(Call {
            id: id.to_owned(),
            key: text("key").map(str::to_owned),
            prompt: parts,
            ..Call::default()
        })
    }

    fn target_headers(&self, headers: &HeaderMap, sending: &OutboundMetadata) -> HeaderMap {
        let mut out = headers.clone();
        out.remove("key");
        out.remove("account");
        let mut set = |name: &'static str, value: Option<String>| {
            if let Some(value) = value {
                out.insert(HeaderName::from_static(name), value.parse().unwrap());
            }
        };
        set("account", sending.account.clone());
        set("target", Some(sending.target.clone()));
        set("after", sending.last_event_id.map(|it| it.to_string()));
        set("salt", sending.salt.clone());
        let fetch = sending.fetch_from.iter().flatten().next();
        set("fetch", fetch.map(ToString::to_string));
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
        }
    }

    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap {
        let mut out = headers.clone();
        out.remove("transfer-encoding");
        out.remove("connection");
        out
    }
}
