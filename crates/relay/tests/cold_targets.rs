//! Guards against crashing targets that have just started by more calls than they bear.

mod support;

use {
    balance::{ColdBound, rendezvous},
    hyper::StatusCode,
    proptest::prelude::*,
    relay::{
        CallSource, ColdPool, Peer, RegisteredCold, Stated, TargetState, TargetStatements,
        TargetStats, View, boot_time, record_report, update_cold_shares,
    },
    routes::{Pool, RouteConfig, RouteTable},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::{
        COLD_ALLOWANCE, TestRelay, caller,
        scripted_target::{ScriptedTarget, Step},
    },
    tokio::time::sleep,
};

const POOL: &str = "pool";
const COLD_TIME: Duration = Duration::from_secs(10);
/// A time within that.
const ALMOST_COLD_TIME: Duration = Duration::from_millis(9_999);
/// Time within which no more calls than the bound may be sent, and the longest delay of sending.
const WINDOW: Duration = Duration::from_millis(1_100);
const HISTORY_MS: u64 = 6_000;
const STEP_MS: usize = 50;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn pools(calls_per_s: f64) -> RouteConfig {
    let pool = Pool {
        name: POOL.to_owned(),
        cold_calls_per_s: Some(calls_per_s),
        ..Pool::default()
    };
    let mut config = RouteConfig::default().version(1);
    config.pools.insert(POOL.to_owned(), pool);
    config
}

fn target(name: &str) -> TargetState {
    TargetState {
        id: name.to_owned(),
        seed: rendezvous::member_seed(name),
        started_unix_ms: 0,
        software_version: String::new(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: String::new(),
        slots_count: 8,
        draining: false,
        models: Vec::new(),
        call_stats: Arc::new(TargetStats::default()),
    }
}

fn registered(cold_left: Duration, revision: u64) -> RegisteredCold {
    RegisteredCold {
        cold_left,
        revision,
        written_after: Some(boot_time() + COLD_TIME),
        may_be_older_copy: false,
    }
}

/// A view in which `instance_seeds` are ready since `since`.
fn view(
    target: &Arc<TargetState>,
    calls_per_s: f64,
    instance_seeds: &[u64],
    since: Duration,
) -> View {
    let mut view = View {
        route_table: Some(Arc::new(RouteTable::new(pools(calls_per_s)))),
        instance_seeds: instance_seeds.into(),
        instances_since: since,
        confirmed_at: boot_time() + Duration::from_mins(1),
        ..View::default()
    };
    view.pools.insert(POOL.to_owned(), vec![target.clone()]);
    view
}

/// An instance, which has a call waiting at any moment.
struct Sender {
    seed: u64,
    target: Arc<TargetState>,
    view: View,
    /// View that it has from the change on.
    next_view: Option<(u64, View)>,
}

impl Sender {
    fn new(seed: u64, calls_per_s: f64, instance_seeds: &[u64], start: Duration) -> Self {
        let target = target("cold");
        target
            .call_stats
            .register_cold(registered(COLD_TIME, 1), start);
        let target = Arc::new(target);
        Self {
            seed,
            view: view(&target, calls_per_s, instance_seeds, start),
            target,
            next_view: None,
        }
    }

    /// Number of calls that the instance sends at `now`, `elapsed_ms` after the start.
    fn send(&mut self, elapsed_ms: u64, now: Duration) -> usize {
        if let Some((_, view)) = self.next_view.take_if(|(at_ms, _)| *at_ms <= elapsed_ms) {
            self.view = View {
                instances_since: now,
                ..view
            };
            update_cold_shares(&self.view, COLD_ALLOWANCE, self.seed, now);
        }
        let pool = ColdPool::new(&self.view, POOL, COLD_ALLOWANCE, self.seed).unwrap();
        let mut count = 0;
        while pool.try_take(&self.target, now) {
            count += 1;
        }
        count
    }

    /// Has another process of the target replace the one that the instance knows.
    fn restart_target(&mut self, now: Duration) {
        let call_stats = self.target.call_stats.of_new_process();
        call_stats.register_cold(registered(COLD_TIME, 2), now);
        self.target = Arc::new(TargetState {
            call_stats: Arc::new(call_stats),
            ..TargetState::clone(&self.target)
        });
        let targets = vec![self.target.clone()];
        self.view.pools.insert(POOL.to_owned(), targets.clone());
        if let Some((_, view)) = &mut self.next_view {
            view.pools.insert(POOL.to_owned(), targets);
        }
    }
}

fn seeds(names: impl Iterator<Item = usize>) -> Vec<u64> {
    names
        .map(|index| rendezvous::member_seed(&format!("instance-{index}")))
        .collect()
}

/// Most calls in one window, by the calls of each step.
fn worst_window(counts: &[usize]) -> usize {
    let steps_count = usize::try_from(WINDOW.as_millis()).unwrap() / STEP_MS;
    let windows = counts.windows(steps_count.min(counts.len()));
    windows
        .map(|window| window.iter().sum())
        .max()
        .unwrap_or_default()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Some instances come, some go, and those that are cut off from the key-value service go on with
    /// the view that they had.
    #[test]
    fn instances_of_two_views_together_keep_the_bound(
        count in 1_usize..=330,
        changed_count in 0_usize..=12,
        cut_off_every in 2_usize..=5,
        calls_per_s in 2.0..40.0_f64,
        change_ms in 2_500_u64..4_000,
        restart_ms in 2_500_u64..4_000,
    ) {
        let start = boot_time();
        let first = seeds(0..count);
        let later = seeds(changed_count.min(count - 1)..count + changed_count);
        let mut senders: Vec<Sender> = first
            .iter()
            .map(|seed| Sender::new(*seed, calls_per_s, &first, start))
            .collect();
        for (index, sender) in senders.iter_mut().enumerate() {
            if index % cut_off_every > 0 {
                let view = view(&sender.target, calls_per_s, &later, start);
                sender.next_view = Some((change_ms + index as u64 % 300, view));
            }
        }
        let mut counts = Vec::new();
        let mut has_restarted = false;
        for elapsed_ms in (0..HISTORY_MS).step_by(STEP_MS) {
            let now = start + millis(elapsed_ms);
            if elapsed_ms >= restart_ms && !has_restarted {
                has_restarted = true;
                for sender in &mut senders {
                    sender.restart_target(now);
                }
            }
            let sent = senders.iter_mut().map(|sender| sender.send(elapsed_ms, now));
            counts.push(sent.sum::<usize>());
        }
        let bound = COLD_ALLOWANCE.bound(0, calls_per_s);
        let worst = u32::try_from(worst_window(&counts)).unwrap();
        prop_assert!(worst <= bound.max_calls_count(), "{worst} calls");
        let before_changes: usize = counts[..2_500 / STEP_MS].iter().sum();
        prop_assert!(before_changes > 0, "the target bears calls");
    }
}

/// A target that has just registered as cold, and a view for one instance.
fn cold_target(registration: RegisteredCold) -> (Arc<TargetState>, View, Duration) {
    let now = boot_time();
    let target = Arc::new(target("cold"));
    target.call_stats.register_cold(registration, now);
    let view = view(&target, 8.0, &[7], Duration::ZERO);
    (target, view, now)
}

fn is_cold(view: &View, target: &TargetState, now: Duration) -> bool {
    let pool = ColdPool::new(view, POOL, COLD_ALLOWANCE, 7).unwrap();
    pool.is_cold(target, now)
}

#[test]
fn registration_that_is_read_again_does_not_make_its_target_cold_again() {
    let registration = registered(COLD_TIME, 5);
    let (target, view, now) = cold_target(registration);
    assert!(is_cold(&view, &target, now + ALMOST_COLD_TIME));
    let later = now + COLD_TIME + millis(1);
    assert!(!is_cold(&view, &target, later));
    target.call_stats.register_cold(registration, later);
    assert!(!is_cold(&view, &target, later));
}

#[test]
fn target_that_registers_as_cold_again_is_cold_again() {
    let (target, view, now) = cold_target(registered(COLD_TIME, 5));
    target
        .call_stats
        .register_cold(registered(Duration::ZERO, 6), now);
    assert!(!is_cold(&view, &target, now), "it has become warm early");
    let later = now + COLD_TIME;
    target
        .call_stats
        .register_cold(registered(COLD_TIME, 7), later);
    assert!(is_cold(&view, &target, later + ALMOST_COLD_TIME));
}

#[test]
fn registration_of_an_older_copy_does_not_make_the_time_shorter() {
    let (target, view, now) = cold_target(registered(COLD_TIME, 5));
    let older = RegisteredCold {
        may_be_older_copy: true,
        ..registered(Duration::ZERO, 3)
    };
    target.call_stats.register_cold(older, now);
    assert!(is_cold(&view, &target, now + ALMOST_COLD_TIME));
}

/// Records that `target` answers a health check, and states for how long it stays cold.
fn state_cold(target: &TargetState, cold_left: Duration) {
    let statements = TargetStatements {
        cold_left: Some(Stated::Valid(cold_left)),
        ..TargetStatements::default()
    };
    let log = eventlog::EventLog::start(std::io::sink());
    record_report(
        target,
        StatusCode::OK,
        &statements,
        &log,
        &meters::Meters::new(),
    );
}

#[tokio::test]
async fn registration_that_may_be_older_than_an_answer_does_not_make_the_time_shorter() {
    let (target, view, now) = cold_target(registered(millis(100), 5));
    state_cold(&target, COLD_TIME);
    let late = RegisteredCold {
        written_after: Some(now),
        ..registered(Duration::ZERO, 6)
    };
    target.call_stats.register_cold(late, boot_time());
    assert!(is_cold(&view, &target, now + ALMOST_COLD_TIME));
}

#[tokio::test]
async fn answer_does_not_make_the_time_shorter_that_another_one_has_stated() {
    let (target, view, now) = cold_target(registered(Duration::ZERO, 5));
    assert!(!is_cold(&view, &target, now));
    state_cold(&target, COLD_TIME);
    state_cold(&target, millis(10));
    assert!(is_cold(&view, &target, now + ALMOST_COLD_TIME));
}

/// Guards against an instance that crashes by an answer which states the longest time.
#[tokio::test]
async fn target_may_state_that_it_stays_cold_for_ever() {
    let (target, view, now) = cold_target(registered(Duration::ZERO, 5));
    state_cold(&target, Duration::MAX);
    assert!(is_cold(&view, &target, now + 1_000 * COLD_TIME));
}

const OWN_SEED: u64 = 0;

/// Registers that `target` is cold for long.
fn make_cold(relay: &TestRelay, name: &str) {
    let view = relay.view.load();
    let target = view.pools[POOL].iter().find(|it| it.id == name).unwrap();
    target
        .call_stats
        .register_cold(registered(COLD_TIME, 1), boot_time());
}

#[tokio::test]
async fn only_target_gets_no_more_than_it_bears_and_the_refusal_names_the_time() {
    let target = ScriptedTarget::start("only", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    relay.bound_cold_calls(8.0, &[OWN_SEED]);
    make_cold(&relay, "only");
    let until = Instant::now() + Duration::from_secs(2);
    let mut refused_count = 0;
    while Instant::now() < until {
        let response = caller::call(relay.address, "/once/1", "").await;
        if response.status == 503 {
            refused_count += 1;
            let retry_after_s: f64 = response.header("retry-after").unwrap().parse().unwrap();
            assert!(retry_after_s < 0.2, "{retry_after_s}");
        }
        sleep(millis(5)).await;
    }
    let sent_count = target.arrived().len();
    assert!(refused_count > 0);
    assert!(
        (8..=17).contains(&sent_count),
        "{sent_count} in two seconds"
    );
}

#[tokio::test]
async fn warm_target_is_preferred() {
    let cold = ScriptedTarget::start("cold", vec![]).await;
    let warm = ScriptedTarget::start("warm", vec![]).await;
    let relay = TestRelay::start(&[&cold, &warm]).await;
    relay.bound_cold_calls(8.0, &[OWN_SEED]);
    make_cold(&relay, "cold");
    for _ in 0..20 {
        let response = caller::call(relay.address, "/once/1", "").await;
        assert_eq!(response.status, 200);
        sleep(millis(20)).await;
    }
    assert_eq!(cold.arrived().len(), 0);
    assert_eq!(warm.arrived().len(), 20);
}

#[tokio::test]
async fn pool_without_a_rate_is_served_without_a_bound() {
    let target = ScriptedTarget::start("only", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    make_cold(&relay, "only");
    for _ in 0..50 {
        let response = caller::call(relay.address, "/once/1", "").await;
        assert_eq!(response.status, 200);
    }
}

#[tokio::test]
async fn target_that_broke_off_a_connection_may_be_cold() {
    let target = ScriptedTarget::start("only", vec![Step::RespondThenEnd(String::new())]).await;
    let relay = TestRelay::start(&[&target]).await;
    relay.bound_cold_calls(8.0, &[OWN_SEED]);
    caller::call(relay.address, "/once/1", "").await;
    let mut refused_count = 0;
    for _ in 0..20 {
        let response = caller::call(relay.address, "/once/1", "").await;
        refused_count += usize::from(response.status == 503);
    }
    assert!(refused_count > 10, "{refused_count}");
}

/// Instances of which another one uses all that the target `only` bears.
fn with_other_sender() -> (u64, Vec<u64>) {
    let seed = rendezvous::member_seed("only");
    let score = |instance: u64| rendezvous::score(seed, instance);
    let other = (1..100).find(|it| score(*it) > score(OWN_SEED)).unwrap();
    (other, vec![OWN_SEED, other])
}

#[tokio::test]
async fn instance_without_a_share_passes_the_call_on_to_the_one_that_has_it() {
    let (other_seed, instance_seeds) = with_other_sender();
    let bound: ColdBound = COLD_ALLOWANCE.bound(rendezvous::member_seed("only"), 8.0);
    assert_eq!(bound.senders(&instance_seeds), vec![other_seed]);
    let target = ScriptedTarget::start("only", vec![]).await;
    let status = "HTTP/1.1 503 Service Unavailable";
    let refusal = format!("{status}\r\nx-rattan-not-run: {{id}}\r\ncontent-length: 2\r\n\r\nno");
    let peer = ScriptedTarget::start("peer", vec![Step::Respond(refusal)]).await;
    let relay = TestRelay::start_all(
        &[&target],
        balance::RetryBounds::default(),
        CallSource::Caller,
    )
    .await;
    relay.bound_cold_calls(8.0, &instance_seeds);
    make_cold(&relay, "only");
    let mut view = View::clone(&relay.view.load());
    view.peers = [Peer {
        name: "peer".to_owned(),
        seed: other_seed,
        address: peer.address,
        failure_domain: "here".to_owned(),
    }]
    .into();
    relay.view.store(Arc::new(view));
    let refused = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    let answered = caller::call(relay.address, "/once/1", "").await;
    assert_eq!(answered.status, 200, "{answered:?}");
    assert_eq!(peer.arrived().len(), 2);
    assert_eq!(target.arrived().len(), 0);
}
