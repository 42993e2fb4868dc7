//! Sample records for the tests.

use {
    decision::{Record, Step},
    routing::{Choice, Estimate, FilterReason, PrefixSource, RejectedCandidate},
    std::time::Duration,
};

/// Creates a record without steps.
pub fn record(request: &str) -> Record {
    Record {
        request: request.to_owned(),
        client_account: "tasboulak".to_owned(),
        instance: "entry-1".to_owned(),
        model_version: "notes-2".to_owned(),
        revision: 41,
        arrived: Duration::from_secs(1_700_000_000),
        steps: Vec::new(),
    }
}

/// Creates an estimate for a target.
pub fn estimate(target: &str, source: PrefixSource) -> Estimate {
    Estimate {
        target: target.to_owned(),
        source,
        first_token: Duration::from_millis(120),
        recomputed_tokens: 2_000,
        link_bytes: 4_096,
        cost: 0.5,
        import_blocks: 1,
        ..Estimate::default()
    }
}

/// Creates a routing step with `others_count` other candidates and as many rejected ones.
pub fn routed(others_count: usize) -> Step {
    let others =
        (0..others_count).map(|index| estimate(&format!("other-{index}"), PrefixSource::Recompute));
    let rejected = (0..others_count).map(|index| RejectedCandidate {
        target: format!("rejected-{index}"),
        reason: FilterReason::Leaving,
    });
    Step::Routed {
        choice: Choice {
            chosen: estimate("engine-1", PrefixSource::Import),
            others: others.collect(),
            rejected: rejected.collect(),
        },
        missing: vec!["directory owner entry-3 did not answer".to_owned()],
    }
}
