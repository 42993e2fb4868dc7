//! Which feeds an instance reads, and from which aggregator.

use {
    entry::{
        Aggregator, AggregatorChoice, Aggregators, FeedSource, MIN_INSTANCES_COUNT, MemberRecord,
        ReadingPlan,
    },
    feed::Scope,
    std::time::Duration,
};

type Members = Vec<(String, MemberRecord)>;

/// Instances in three failure domains; the first six have fast links.
fn members(count: u16) -> Members {
    let member = |index: u16| {
        let record = MemberRecord {
            address: ([127, 0, 0, 1], 8_000 + index).into(),
            failure_domain: format!("domain-{}", index % 3),
            ready: true,
            feed: Some(([127, 0, 0, 1], 9_000 + index).into()),
            peer_calls: None,
            link_bits_per_s: Some(if index < 6 { 200 } else { 10 }),
            highest_fencing: 0,
            fencing_holder: String::new(),
        };
        (format!("entry-{index:03}"), record)
    };
    (0..count).map(member).collect()
}

fn plan(members: &Members, index: usize) -> ReadingPlan {
    let aggregators = Aggregators::select(members.iter().map(|(name, record)| (name, record)));
    let domain = format!("domain-{}", index % 3);
    ReadingPlan::new(members, &aggregators, &format!("entry-{index:03}"), &domain)
}

fn instances_count(plan: &ReadingPlan) -> usize {
    let sources = plan.sources.iter();
    let instances = sources.filter(|it| matches!(it, FeedSource::Instance(..)));
    instances.count()
}

fn merged(domain: &str, scope: Scope) -> FeedSource {
    FeedSource::Merged(domain.to_owned(), scope)
}

#[test]
fn instance_of_a_small_fleet_reads_all_others() {
    let members = members(u16::try_from(MIN_INSTANCES_COUNT).unwrap() - 1);
    let plan = plan(&members, 9);
    assert_eq!(instances_count(&plan), members.len() - 1);
    assert_eq!(plan.sources.len(), members.len() - 1);
    assert!(!plan.is_aggregator);
}

/// Guards against news that reach nobody, or everybody from everybody.
#[test]
fn instance_of_a_large_fleet_reads_one_merged_feed() {
    let plan = plan(&members(128), 9);
    assert_eq!(plan.sources, [merged("domain-0", Scope::All)].into());
    assert!(!plan.is_aggregator);
}

#[test]
fn aggregator_reads_its_domain_and_one_feed_of_each_other() {
    let plan = plan(&members(128), 1);
    assert!(plan.is_aggregator);
    assert_eq!(instances_count(&plan), 42, "the others of its domain");
    assert!(plan.sources.contains(&merged("domain-0", Scope::Domain)));
    assert!(plan.sources.contains(&merged("domain-2", Scope::Domain)));
    assert_eq!(plan.sources.len(), 44);
}

/// Guards against an instance that learns nothing, since no instance of its domain is ready yet.
#[test]
fn first_instance_of_a_domain_reads_another_domain() {
    let mut members = members(128);
    members.retain(|(_, record)| record.failure_domain != "domain-0");
    let plan = plan(&members, 0);
    assert_eq!(plan.sources, [merged("domain-1", Scope::All)].into());
}

#[test]
fn other_aggregator_is_read_while_the_first_fails() {
    let aggregator = |name: &str| Aggregator {
        name: name.to_owned(),
        feed: ([127, 0, 0, 1], 9).into(),
    };
    let (one, two) = (aggregator("one"), aggregator("two"));
    let candidates = [&one, &two];
    let mut choice = AggregatorChoice::default();
    let at = Duration::from_secs;
    assert_eq!(choice.choose(&candidates, at(1)), Some(&one));
    choice.record_failure("one", at(1));
    assert_eq!(choice.choose(&candidates, at(1)), Some(&two));
    choice.record_failure("two", at(2));
    assert_eq!(
        choice.choose(&candidates, at(2)),
        Some(&one),
        "its failure is longer ago"
    );
    assert_eq!(choice.choose(&candidates, at(60)), Some(&one));
    choice.record_refusal("one", at(60));
    assert_eq!(choice.choose(&candidates, at(60)), Some(&two));
    assert_eq!(
        choice.choose(&candidates, at(62)),
        Some(&one),
        "views differ for a moment only"
    );
    assert_eq!(choice.choose(&[], at(62)), None);
}
