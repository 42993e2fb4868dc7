//! Evacuations of failure domains, as written to the event log.

use {
    crate::KnownState,
    catalog::FailureDomainId,
    eventlog::Event,
    std::collections::{BTreeMap, BTreeSet},
};

/// Warning in the log about an evacuated domain without targets.
const UNKNOWN_DOMAIN_WARNING: &str =
    "no target is registered in this failure domain; check its name in the key";

/// Evacuations as last written to the event log.
#[derive(Debug, Default)]
pub(crate) struct LoggedEvacuations {
    /// Evacuated failure domains, and whether targets were known there.
    domains: BTreeMap<FailureDomainId, bool>,
}

/// What has changed since the last report, and what is evacuated.
#[derive(Debug)]
pub(crate) struct EvacuationReport {
    /// Events for the log.
    pub(crate) events: Vec<Event>,
    /// Number of targets in evacuated failure domains.
    pub(crate) targets_count: usize,
}

impl LoggedEvacuations {
    /// Brings the log in line with the known state. An evacuation is logged again once the first target
    /// of its failure domain is known.
    pub(crate) fn update(&mut self, known: &KnownState) -> EvacuationReport {
        let mut events = Vec::new();
        let mut evacuated_count = 0;
        let present: BTreeSet<&FailureDomainId> = known.evacuated_domains().collect();
        for domain in &present {
            let targets_count = targets_count(known, domain);
            evacuated_count += targets_count;
            let has_targets = targets_count > 0;
            let logged = self.domains.get(*domain).copied();
            if logged.is_none() || (has_targets && logged == Some(false)) {
                self.domains.insert((*domain).clone(), has_targets);
                events.push(evacuation_event(domain, "begun", targets_count));
            }
        }
        self.domains.retain(|domain, _| {
            let is_present = present.contains(domain);
            if !is_present {
                events.push(evacuation_event(
                    domain,
                    "ended",
                    targets_count(known, domain),
                ));
            }
            is_present
        });
        EvacuationReport {
            events,
            targets_count: evacuated_count,
        }
    }
}

fn targets_count(known: &KnownState, domain: &str) -> usize {
    let targets = known.targets();
    targets.filter(|it| it.failure_domain == domain).count()
}

fn evacuation_event(domain: &str, state: &'static str, targets_count: usize) -> Event {
    let is_unknown = targets_count == 0 && state == "begun";
    Event::Evacuation {
        failure_domain: domain.to_owned(),
        state,
        targets_count,
        warning: if is_unknown {
            UNKNOWN_DOMAIN_WARNING
        } else {
            ""
        },
    }
}
