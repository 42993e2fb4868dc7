//! Builds members for tests.

use cluster::{Member, MemberState};

/// Returns a live member of `region-0`, in one of `domains_count` failure domains.
pub fn member(index: u16, domains_count: u16) -> Member {
    Member {
        instance: format!("entry-{index:03}"),
        address: ([127, 0, 0, 1], 10_000 + index).into(),
        peer_address: ([127, 0, 0, 1], 20_000 + index).into(),
        region: "region-0".to_owned(),
        failure_domain: format!("fd-{}", index % domains_count),
        state: MemberState::Live,
        incarnation: 1,
    }
}
