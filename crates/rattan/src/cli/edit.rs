//! `rattan label`, `drain` and `delete`.

use {
    super::{
        Client, ClientError, Exit, Output, Reply,
        client::Call,
        options::{Delete, Drain, Label},
        output::{print, print_json, print_note},
        paths,
        show::parse_kind,
    },
    hyper::Method,
    operator::LabelsPatch,
    serde_json::{Value, json},
};

/// Sets and removes labels.
pub(super) async fn label(
    client: &Client,
    options: &Label,
    format: Output,
) -> Result<Exit, ClientError> {
    let changes = parse_changes(&options.changes)?;
    let path = paths::labels(parse_kind(&options.kind)?, &options.name);
    let call = Call::new(Method::PATCH, path, json!(changes));
    let reply = client.call(&call).await?;
    report(&format!("labelled {}", options.name), &reply, format);
    Ok(Exit::Ok)
}

/// Marks a target as leaving.
pub(super) async fn drain(
    client: &Client,
    options: &Drain,
    format: Output,
) -> Result<Exit, ClientError> {
    let path = paths::drain(&options.target);
    let call = Call::new(Method::POST, path, json!({}));
    let reply = client.call(&call).await?;
    report(&format!("draining {}", options.target), &reply, format);
    Ok(Exit::Ok)
}

/// Deletes an object, on condition that nobody changes it in between.
pub(super) async fn delete(
    client: &Client,
    options: &Delete,
    format: Output,
) -> Result<Exit, ClientError> {
    let path = paths::object(parse_kind(&options.kind)?, &options.name);
    let found = client.call(&Call::get(path.clone())).await?;
    let mut call = Call::new(Method::DELETE, path, Value::Null);
    call.if_match = found["revision"].as_u64();
    let reply = client.call(&call).await?;
    report(&format!("deleted {}", options.name), &reply, format);
    Ok(Exit::Ok)
}

fn parse_changes(changes: &[String]) -> Result<LabelsPatch, ClientError> {
    let mut patch = LabelsPatch::default();
    for change in changes {
        if let Some((key, value)) = change.split_once('=') {
            patch.set.insert(key.to_owned(), value.to_owned());
        } else if let Some(key) = change.strip_suffix('-') {
            patch.remove.push(key.to_owned());
        } else {
            return Err(ClientError::usage(&format!(
                "{change:?} is not a change of a label; write key=value or key-"
            )));
        }
    }
    if changes.is_empty() {
        return Err(ClientError::usage(
            "no label to change; write key=value or key-",
        ));
    }
    Ok(patch)
}

fn report(done: &str, reply: &Reply, format: Output) {
    if format == Output::Json {
        print_json(reply);
        return;
    }
    print(&format!(
        "{done}, accepted at revision {}",
        reply["revision"]
    ));
    for warning in reply["warnings"].as_array().into_iter().flatten() {
        print_note(&format!(
            "warning: {}",
            warning.as_str().unwrap_or_default()
        ));
    }
}
