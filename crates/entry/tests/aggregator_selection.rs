//! Which instances read for others of their failure domain.

use {
    entry::{Aggregators, MIN_INSTANCES_COUNT, MemberRecord},
    std::collections::{BTreeMap, HashSet},
};

type Members = BTreeMap<String, MemberRecord>;

const FAST_LINK_BITS_PER_S: u64 = 200_000_000;
const SLOW_LINK_BITS_PER_S: u64 = 10_000_000;

/// Instances in three failure domains; the first six have fast links.
fn members(count: u16) -> Members {
    let member = |index: u16| {
        let is_fast = index < 6;
        let record = MemberRecord {
            address: ([127, 0, 0, 1], 8_000 + index).into(),
            failure_domain: format!("domain-{}", index % 3),
            ready: true,
            feed: Some(([127, 0, 0, 1], 9_000 + index).into()),
            peer_calls: None,
            link_bits_per_s: Some(if is_fast {
                FAST_LINK_BITS_PER_S
            } else {
                SLOW_LINK_BITS_PER_S
            }),
            highest_fencing: 0,
            fencing_holder: String::new(),
        };
        (format!("entry-{index:03}"), record)
    };
    (0..count).map(member).collect()
}

fn many() -> u16 {
    u16::try_from(MIN_INSTANCES_COUNT).unwrap()
}

/// Guards against a hop in fleets that do well without.
#[test]
fn small_fleet_has_no_aggregators() {
    let aggregators = Aggregators::select(&members(many() - 1));
    assert!(aggregators.is_empty());
    assert!(aggregators.for_reader("domain-0", "entry-009").is_empty());
}

/// Guards against news through an instance whose link they would fill.
#[test]
fn fastest_links_of_each_domain_are_selected() {
    let aggregators = Aggregators::select(&members(128));
    let selected: Vec<_> = (0..128)
        .filter(|index| aggregators.contains(&format!("entry-{index:03}")))
        .collect();
    assert_eq!(selected, [0, 1, 2, 3, 4, 5]);
    assert_eq!(aggregators.failure_domains().count(), 3);
}

/// Guards against one aggregator that serves a whole domain while another is idle.
#[test]
fn readers_are_divided_among_aggregators() {
    let members = members(128);
    let aggregators = Aggregators::select(&members);
    let in_domain = members
        .iter()
        .filter(|(_, record)| record.failure_domain == "domain-1");
    let mut first_counts = BTreeMap::new();
    for (name, _) in in_domain {
        let tried = aggregators.for_reader("domain-1", name);
        assert!(tried.iter().all(|it| it.name != *name));
        *first_counts.entry(tried[0].name.clone()).or_insert(0) += 1;
    }
    assert_eq!(first_counts.len(), 2);
    assert!(
        first_counts.values().all(|count| *count > 10),
        "{first_counts:?}"
    );
}

/// Guards against a view in which the loss of one aggregator changes those of other domains.
#[test]
fn lost_aggregator_is_replaced_in_its_domain_only() {
    let mut members = members(128);
    let before = Aggregators::select(&members);
    members.remove("entry-000");
    let after = Aggregators::select(&members);
    let names = |aggregators: &Aggregators, domain: &str| -> HashSet<String> {
        let all = aggregators.for_reader(domain, "another");
        all.into_iter().map(|it| it.name.clone()).collect()
    };
    assert_eq!(names(&before, "domain-1"), names(&after, "domain-1"));
    assert_eq!(names(&after, "domain-0").len(), 2);
    assert!(names(&after, "domain-0").contains("entry-003"));
}
