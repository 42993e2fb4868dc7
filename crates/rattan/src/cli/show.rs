//! `rattan get`, `status` and `explain`.

use {
    super::{
        Client, ClientError, Exit, Output, Reply,
        client::Call,
        options::{Explain, Get},
        output::{outline, print, print_json, print_note, table},
        paths,
    },
    catalog::{Object, ObjectKind, Selector, TargetKind},
    configuration::VersionedObject,
    operator::ObjectList,
    serde::de::DeserializeOwned,
};

/// Age of an answer above which a note says that it may not be current.
const STALE_REPLY_AGE_MS: u64 = 5_000;

/// Shows the objects of a kind, or one of them.
pub(super) async fn get(
    client: &Client,
    options: &Get,
    format: Output,
) -> Result<Exit, ClientError> {
    let kind = parse_kind(&options.kind)?;
    let selector = parse_selector(options.selector.as_deref())?;
    let path = match &options.name {
        Some(name) => paths::object(kind, name),
        None => paths::list(kind, &selector),
    };
    let reply = client.call(&Call::get(path)).await?;
    note_stale_reply(&reply);
    if format == Output::Json {
        print_json(&reply);
    } else if options.name.is_some() {
        print(&outline(&reply["object"], 0));
        print(&format!("revision: {}", reply["revision"]));
    } else {
        let listed: ObjectList = parse_reply(reply)?;
        print(&objects_table(&listed.objects));
    }
    Ok(Exit::Ok)
}

/// Shows the state of the system as the entry instance sees it.
pub(super) async fn status(client: &Client, format: Output) -> Result<Exit, ClientError> {
    let reply = client.call(&Call::get("/v1/operator/status")).await?;
    match format {
        Output::Json => print_json(&reply),
        Output::Human => print(&outline(&reply, 0)),
    }
    Ok(Exit::Ok)
}

/// Shows why a request was routed to its target or refused.
pub(super) async fn explain(
    client: &Client,
    options: &Explain,
    format: Output,
) -> Result<Exit, ClientError> {
    let path = paths::decision(&options.request_id);
    let reply = client.call(&Call::get(path)).await?;
    match (format, reply["explanation"].as_str()) {
        (Output::Human, Some(text)) => print(text),
        _ => print_json(&reply),
    }
    Ok(Exit::Ok)
}

/// Parses the kind of an object; the plural is accepted too.
pub(super) fn parse_kind(text: &str) -> Result<ObjectKind, ClientError> {
    let singular = text.strip_suffix('s').unwrap_or(text).replace('-', "_");
    singular
        .parse()
        .map_err(|error: catalog::InvalidField| ClientError::usage(&error.to_string()))
}

fn parse_selector(text: Option<&str>) -> Result<Selector, ClientError> {
    text.unwrap_or_default()
        .parse()
        .map_err(|error: catalog::InvalidField| ClientError::usage(&error.to_string()))
}

fn parse_reply<Answer>(reply: Reply) -> Result<Answer, ClientError>
where
    Answer: DeserializeOwned,
{
    serde_json::from_value(reply).map_err(|error| ClientError::Malformed {
        reason: format!("the answer can't be read: {error}"),
    })
}

fn note_stale_reply(reply: &Reply) {
    let age_ms = reply["confirmed_age_ms"].as_u64().unwrap_or(0);
    if age_ms > STALE_REPLY_AGE_MS {
        print_note(&format!(
            "note: the key-value service is not answering; this is from {} s ago",
            age_ms / 1_000
        ));
    }
}

fn objects_table(objects: &[VersionedObject]) -> String {
    let header = ["NAME", "REVISION", "SUMMARY", "LABELS"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for found in objects {
        let labels = Selector {
            required: found.object.labels().clone(),
        };
        rows.push(vec![
            found.object.name().to_owned(),
            found.revision.to_string(),
            summary(&found.object),
            labels.to_string(),
        ]);
    }
    table(&rows)
}

fn summary(object: &Object) -> String {
    match object {
        Object::ClientAccount(account) => format!(
            "{} keys, {} running, {} tokens/s, weight {}",
            account.key_digests.len(),
            account.max_running_count,
            account.tokens_per_s,
            account.weight
        ),
        Object::ModelVersion(version) => {
            let active = if version.active { "active" } else { "inactive" };
            format!("{} of {}", active, version.model)
        }
        Object::Target(target) => {
            let kind = match target.kind {
                TargetKind::Engine => "engine",
                TargetKind::Store => "store",
                TargetKind::Service => "service",
            };
            let leaving = if target.leaving { ", leaving" } else { "" };
            format!(
                "{kind} {} in {}{leaving}",
                target.address, target.failure_domain
            )
        }
        Object::PlacementRule(rule) => {
            format!("precedence {}, priority {}", rule.precedence, rule.priority)
        }
    }
}
