//! State of the system as one instance sees it, for `rattan status`.

use {
    catalog::{Catalog, Target},
    cluster::{Member, MemberState, Members},
    fleet::Fleet,
    serde_json::{Map, Value, json},
    std::time::Instant,
};

/// Adds the state of each entry instance and target, by name, to `body`, which holds the status of
/// the configuration.
pub(crate) fn add_system_status(
    body: &mut Value,
    members: &Members,
    catalog: &Catalog,
    fleet: &Fleet,
) {
    let now = Instant::now();
    let instances: Map<String, Value> = members
        .iter()
        .map(|member| (member.instance.clone(), json!(describe_member(member))))
        .collect();
    let targets: Map<String, Value> = catalog
        .targets
        .values()
        .map(|target| {
            (
                target.name.clone(),
                json!(describe_target(target, fleet, now)),
            )
        })
        .collect();
    body["entry_instances"] = Value::Object(instances);
    body["targets"] = Value::Object(targets);
}

fn describe_member(member: &Member) -> String {
    let state = match member.state {
        MemberState::Live => "live",
        MemberState::Suspect => "not answering",
        MemberState::Leaving => "leaving",
    };
    format!("{state}, {} in {}", member.address, member.failure_domain)
}

fn describe_target(target: &Target, fleet: &Fleet, now: Instant) -> String {
    let view = fleet.view(&target.name);
    let state = match &view {
        _ if target.leaving => "leaving, as configured",
        None => "not looked at yet",
        Some(view) if view.is_leaving() => "leaving",
        Some(view) if view.is_avoided(now) => "connections fail",
        Some(_) => "in use",
    };
    let running_count = view.map_or(0, |view| view.in_flight_count());
    format!("{state}, {running_count} requests of this instance")
}
