//! `rattan apply`: creates or changes the objects of a file.

use {
    super::{
        Client, ClientError, Exit, Output,
        client::Call,
        options::Apply,
        output::{print, print_json, print_note},
    },
    catalog::{Edit, Object, ObjectKind, Revision, parse_file},
    configuration::{Change, Precondition, RawChange},
    hyper::Method,
    operator::ObjectList,
    serde_json::{Value, json},
    std::{collections::BTreeMap, io::Read},
};

/// Changes that a file makes, and the names of the objects by what happens to them.
#[derive(Debug, Default)]
struct Plan {
    changes: Vec<Change>,
    created: Vec<String>,
    changed: Vec<String>,
    unchanged: Vec<String>,
}

/// Objects in the configuration, with their revisions, by kind and name.
type CurrentObjects = BTreeMap<(ObjectKind, String), (Revision, Object)>;

/// Creates or changes the objects of a file, on condition that nobody else changes them in between.
pub(super) async fn run(
    client: &Client,
    options: &Apply,
    format: Output,
) -> Result<Exit, ClientError> {
    let text = read_file(&options.file)?;
    let objects = parse_file(&text)
        .map_err(|error| ClientError::usage(&format!("{}: {error}", options.file)))?;
    let current = fetch_current(client, &objects).await?;
    let plan = plan_changes(objects, &current);
    if plan.changes.is_empty() {
        report(&plan, &json!({}), format);
        return Ok(Exit::Ok);
    }
    let changes: Vec<RawChange> = plan.changes.iter().map(RawChange::from).collect();
    let query = if options.in_parts {
        "?in_parts=true"
    } else {
        ""
    };
    let path = format!("/v1/operator/apply{query}");
    let reply = client
        .call(&Call::new(Method::POST, path, json!(changes)))
        .await?;
    report(&plan, &reply, format);
    Ok(Exit::Ok)
}

fn read_file(file: &str) -> Result<String, ClientError> {
    let mut text = String::new();
    let result = if file == "-" {
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    result.map_err(|error| {
        ClientError::usage(&format!("{file} can't be read: {error}; correct --file"))
    })
}

async fn fetch_current(client: &Client, objects: &[Object]) -> Result<CurrentObjects, ClientError> {
    let mut current = CurrentObjects::new();
    for kind in ObjectKind::ALL {
        if !objects.iter().any(|object| object.kind() == kind) {
            continue;
        }
        let path = format!("/v1/operator/{kind}");
        let reply = client.call(&Call::get(path)).await?;
        let listed: ObjectList = serde_json::from_value(reply).map_err(|error| {
            let reason = format!("the list of {kind} can't be read: {error}");
            ClientError::Malformed { reason }
        })?;
        for found in listed.objects {
            let key = (kind, found.object.name().to_owned());
            current.insert(key, (found.revision, found.object));
        }
    }
    Ok(current)
}

fn plan_changes(objects: Vec<Object>, current: &CurrentObjects) -> Plan {
    let mut plan = Plan::default();
    for object in objects {
        let name = format!("{}/{}", object.kind(), object.name());
        let found = current.get(&(object.kind(), object.name().to_owned()));
        let precondition = match found {
            Some((_, found)) if *found == object => {
                plan.unchanged.push(name);
                continue;
            }
            Some((revision, _)) => {
                plan.changed.push(name);
                Precondition::Revision(*revision)
            }
            None => {
                plan.created.push(name);
                Precondition::Absent
            }
        };
        let edit = Edit::Put(object);
        plan.changes.push(Change { edit, precondition });
    }
    plan
}

fn report(plan: &Plan, reply: &Value, format: Output) {
    let lines = |value: &Value| -> Vec<String> {
        let items = value.as_array().into_iter().flatten();
        items.filter_map(Value::as_str).map(str::to_owned).collect()
    };
    let deactivated = lines(&reply["deactivated"]);
    let warnings = lines(&reply["warnings"]);
    if format == Output::Json {
        print_json(&json!({
            "revision": reply["revision"],
            "created": plan.created,
            "changed": plan.changed,
            "unchanged": plan.unchanged,
            "deactivated": deactivated,
            "warnings": warnings,
        }));
        return;
    }
    let marked = [
        ("created", &plan.created),
        ("changed", &plan.changed),
        ("unchanged", &plan.unchanged),
        ("deactivated model_version", &deactivated),
    ];
    for (mark, names) in marked {
        for name in names {
            print(&format!("{mark} {name}"));
        }
    }
    if let Some(revision) = reply["revision"].as_u64() {
        print(&format!("accepted at revision {revision}"));
    }
    for warning in warnings {
        print_note(&format!("warning: {warning}"));
    }
}
