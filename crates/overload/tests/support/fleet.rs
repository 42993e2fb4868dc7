//! Instances in front of engines, and callers that submit calls at a rate.

use {
    super::{
        caller::{Call, Kind, Ms},
        engine::{Engine, Left, Order},
        report::{End, Report},
    },
    overload::{CallNeeds, Decision, OverloadControl, PoolState, TargetRoom},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::VecDeque, time::Duration},
};

const TICK_MS: Ms = 5.0;
const INSTANCES_COUNT: usize = 40;
const ENGINES_COUNT: usize = 10;
/// Number of ticks until an instance knows the loads of the others.
const LOADS_DELAY_TICKS: usize = 60;
/// Number of accounts of a kind.
const ACCOUNTS_COUNT: usize = 8;

/// A run of the model.
#[derive(Clone, Debug)]
pub struct Load {
    pub order: Order,
    pub has_control: bool,
    /// Number of calls that an engine runs at the same time.
    pub slots_count: u32,
    /// Calls per second and engine, outside and during the overload.
    pub normal_per_s: f64,
    pub peak_per_s: f64,
    pub peak_from_ms: Ms,
    pub peak_until_ms: Ms,
    pub until_ms: Ms,
    /// Share of the calls with long prompts.
    pub long_share: f64,
    /// Share of the calls that the first account of each kind sends.
    pub first_account_share: f64,
    /// Whether refused callers ignore `Retry-After` and come back at once.
    pub retries_at_once: bool,
    /// When half of the engines disappear.
    pub half_gone_ms: Option<Ms>,
    pub seed: u64,
}

/// Loads of the engines at one time, as calls and tokens.
type Loads = Vec<(f64, f64)>;

pub struct Fleet {
    load: Load,
    random: ChaCha8Rng,
    engines: Vec<Engine>,
    controls: Vec<OverloadControl>,
    history: VecDeque<Loads>,
    /// Calls that come back, with the time.
    returning: Vec<(Ms, Call)>,
    report: Report,
    now_ms: Ms,
    ids_count: usize,
}

impl Fleet {
    pub fn run(load: Load) -> Report {
        let mut fleet = Self {
            random: ChaCha8Rng::seed_from_u64(load.seed),
            engines: new_engines(load.slots_count),
            controls: vec![OverloadControl::default(); INSTANCES_COUNT],
            history: VecDeque::new(),
            returning: Vec::new(),
            report: Report::default(),
            now_ms: 0.0,
            ids_count: 0,
            load,
        };
        let drained_ms = fleet.load.until_ms + Kind::Short.limit_ms();
        while fleet.now_ms < drained_ms {
            fleet.tick();
        }
        fleet.report
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.work();
        let lost_ms = self.load.half_gone_ms;
        if lost_ms.is_some_and(|at| at <= self.now_ms) && !self.engines[0].is_gone {
            self.remove_half();
        }
        let loads = self.engines.iter();
        let loads = loads.map(|it| (it.calls_count().into(), it.tokens_count().into()));
        self.history.push_back(loads.collect());
        if self.history.len() > LOADS_DELAY_TICKS {
            self.history.pop_front();
        }
        let now_ms = self.now_ms;
        let due: Vec<_> = self.returning.extract_if(.., |it| it.0 <= now_ms).collect();
        for (_, call) in due {
            self.submit(call);
        }
        for call in self.new_calls() {
            self.submit(call);
        }
    }

    /// Lets the engines work until now.
    fn work(&mut self) {
        let now = duration(self.now_ms);
        let controls = &mut self.controls;
        for engine in self.engines.iter_mut().filter(|it| !it.is_gone) {
            let mut on_start = |call: &Call, at_ms: Ms| {
                let (priority, took) = (call.kind.priority(), duration(at_ms - call.sent_ms));
                let control = &mut controls[call.instance];
                if call.first_ms.is_some() {
                    let tokens_count = call.tokens_count();
                    control.record_start(priority, tokens_count, call.tokens_ahead, took, now);
                } else {
                    control.record_delay(priority, call.tokens_ahead, took, now);
                }
            };
            let all_left = engine.advance(self.now_ms, self.load.order, &mut on_start);
            for left in all_left {
                let (call, is_whole) = match left {
                    Left::Whole(call) => (call, true),
                    Left::Abandoned(call) => {
                        if call.first_ms.is_none() {
                            on_start(&call, self.now_ms);
                        }
                        (call, false)
                    }
                };
                self.report.ends.push(End {
                    call,
                    is_whole,
                    is_refused: false,
                });
            }
        }
    }

    fn remove_half(&mut self) {
        for engine in &mut self.engines[..ENGINES_COUNT / 2] {
            let ends = engine.clear().into_iter().map(|call| End {
                call,
                is_whole: false,
                is_refused: false,
            });
            self.report.ends.extend(ends);
        }
    }

    fn new_calls(&mut self) -> Vec<Call> {
        let load = &self.load;
        if self.now_ms > load.until_ms {
            return Vec::new();
        }
        let is_peak = (load.peak_from_ms..load.peak_until_ms).contains(&self.now_ms);
        let per_s = if is_peak {
            load.peak_per_s
        } else {
            load.normal_per_s
        };
        #[allow(clippy::cast_precision_loss)]
        let mut expected = per_s * ENGINES_COUNT as f64 * TICK_MS / 1_000.0;
        let mut calls = Vec::new();
        while expected > 0.0 && self.random.random_bool(expected.min(1.0)) || expected >= 1.0 {
            expected -= 1.0;
            calls.push(self.new_call());
            if expected <= 0.0 {
                break;
            }
        }
        calls
    }

    fn new_call(&mut self) -> Call {
        self.ids_count += 1;
        let is_long = self.random.random_bool(self.load.long_share);
        let kind = if is_long { Kind::Long } else { Kind::Short };
        let is_first = self.random.random_bool(self.load.first_account_share);
        let others = 1..ACCOUNTS_COUNT;
        Call {
            id: self.ids_count,
            kind,
            account: if is_first {
                0
            } else {
                self.random.random_range(others)
            },
            born_ms: self.now_ms,
            is_return: false,
            instance: 0,
            tokens_ahead: 0.0,
            sent_ms: 0.0,
            engine: 0,
            unread_tokens: kind.unread_tokens(),
            events_left: kind.events_count(),
            first_ms: None,
            last_ms: 0.0,
            worst_gap_ms: 0.0,
        }
    }

    /// Loads of the engines that are there, as instances know them.
    fn known_loads(&self) -> Vec<(usize, f64, f64)> {
        let loads = self.history[0].iter().enumerate();
        let present = loads.filter(|(index, _)| !self.engines[*index].is_gone);
        present
            .map(|(index, (calls, tokens))| (index, *calls, *tokens))
            .collect()
    }

    /// Has an instance decide on a call.
    fn submit(&mut self, mut call: Call) {
        call.instance = self.random.random_range(0..INSTANCES_COUNT);
        call.sent_ms = self.now_ms;
        let loads = self.known_loads();
        if self.load.has_control
            && let Some(retry_after) = self.refuse(&call, &loads)
        {
            self.come_back(call, retry_after);
            return;
        }
        let mut draw = || loads[self.random.random_range(0..loads.len())];
        let (one, other) = (draw(), draw());
        let (index, _, tokens) = if one.2 <= other.2 { one } else { other };
        call.engine = index;
        call.tokens_ahead = tokens + f64::from(call.tokens_count());
        self.engines[index].push(call);
    }

    /// Time after which the caller should come back; `None` if the call runs.
    fn refuse(&mut self, call: &Call, loads: &[(usize, f64, f64)]) -> Option<Duration> {
        let targets = loads
            .iter()
            .map(|(_, calls_count, tokens_count)| TargetRoom {
                slots_count: self.load.slots_count,
                calls_count: *calls_count,
                tokens_count: *tokens_count,
            });
        let targets: Vec<_> = targets.collect();
        let count = u32::try_from(INSTANCES_COUNT).unwrap();
        let pool = PoolState {
            targets: &targets,
            covered_count: count,
            instances_count: count,
        };
        let account = format!("{:?}-{}", call.kind, call.account);
        let needs = CallNeeds {
            priority: call.kind.priority(),
            account: &account,
            tokens_count: call.tokens_count(),
            latency_objective: duration(call.kind.objective_ms()),
            time_limit: duration(call.kind.limit_ms()),
            time_left: duration(call.deadline_ms() - self.now_ms),
            draw: self.random.random(),
        };
        let control = &mut self.controls[call.instance];
        let assessment = control.assess(&pool, &needs, duration(self.now_ms));
        let Decision::Refuse { retry_after, .. } = assessment.decision else {
            return None;
        };
        let part = retry_after.as_secs_f64() / needs.time_left.as_secs_f64();
        let report = &mut self.report;
        report.refusals_count += 1;
        report.max_retry_part = report.max_retry_part.max(part);
        let calls_count: f64 = loads.iter().map(|it| it.1).sum();
        let slots_count: f64 = targets.iter().map(|it| f64::from(it.slots_count)).sum();
        report.refusals_with_room_count += u32::from(calls_count < slots_count / 2.0);
        Some(retry_after)
    }

    /// A refused caller comes back once.
    fn come_back(&mut self, mut call: Call, retry_after: Duration) {
        if call.is_return {
            self.report.ends.push(End {
                call,
                is_whole: false,
                is_refused: true,
            });
            return;
        }
        call.is_return = true;
        let wait_ms = if self.load.retries_at_once {
            0.0
        } else {
            retry_after.as_secs_f64() * 1_000.0
        };
        self.returning.push((self.now_ms + wait_ms, call));
    }
}

fn new_engines(slots_count: u32) -> Vec<Engine> {
    let engine = || Engine::new(slots_count);
    std::iter::repeat_with(engine).take(ENGINES_COUNT).collect()
}

fn duration(ms: Ms) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}
