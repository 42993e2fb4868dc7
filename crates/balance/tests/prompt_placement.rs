//! Plays long and short prompts that many instances place at engines by loads of a while ago.
//!
//! Guards against engines at which prompts queue while others are idle, and against streams that
//! pause behind long prompts.

use {
    balance::{Candidate, choose, rendezvous},
    std::collections::VecDeque,
};

const ENGINES_COUNT: usize = 60;
const SLOTS_COUNT: u32 = 32;
/// Length of a step of the model.
const STEP_MS: u64 = 10;
/// Tokens that an engine reads in a step.
const READ_TOKENS_PER_STEP: u32 = 400;
/// Played time.
const PLAYED_STEPS: u64 = 2_000;
/// Number of instances that place prompts in turn, each of which knows its own calls at once.
const INSTANCES_COUNT: u64 = 128;
/// Number of sessions that the prompts belong to.
const SESSIONS_COUNT: u64 = 1_600;

/// A kind of call: unread prompt tokens, steps that its stream lasts, time to the first token within
/// which it is of use, longest pause of its stream, and calls per second.
#[derive(Clone, Copy)]
struct Kind {
    prompt_tokens: u32,
    stream_steps: u32,
    objective_ms: u64,
    calls_per_s: u64,
}

const LONG: Kind = Kind {
    prompt_tokens: 5_100,
    stream_steps: 7,
    objective_ms: 600,
    calls_per_s: 170,
};
const SHORT: Kind = Kind {
    prompt_tokens: 450,
    stream_steps: 40,
    objective_ms: 400,
    calls_per_s: 240,
};
/// Longest pause of a stream that is still of use, in steps.
const MAX_PAUSE_STEPS: u64 = 40;

#[derive(Clone, Copy)]
struct Running {
    kind: Kind,
    sent_step: u64,
    instance: u64,
    unread_tokens: u32,
    steps_left: u32,
    last_event_step: u64,
    is_late: bool,
}

#[derive(Clone, Default)]
struct Engine {
    calls: Vec<Running>,
}

impl Engine {
    /// Reads the oldest prompt, or else lets the streams go on, for one step. Returns the calls that
    /// ended.
    fn step(&mut self, now: u64) -> Vec<Running> {
        let mut budget_tokens = READ_TOKENS_PER_STEP;
        for call in self.calls.iter_mut().filter(|call| call.unread_tokens > 0) {
            let read_tokens = call.unread_tokens.min(budget_tokens);
            call.unread_tokens -= read_tokens;
            budget_tokens -= read_tokens;
            if call.unread_tokens == 0 {
                call.is_late = (now - call.sent_step) * STEP_MS > call.kind.objective_ms;
                call.last_event_step = now;
            }
        }
        // A step of reading leaves time for one token of each stream in five steps.
        let streams_advance = budget_tokens > 0 || now.is_multiple_of(5);
        for call in self.calls.iter_mut().filter(|call| call.unread_tokens == 0) {
            if streams_advance {
                call.steps_left = call.steps_left.saturating_sub(1);
            }
            // One event holds five tokens.
            if call.steps_left.is_multiple_of(5) {
                call.is_late |= now - call.last_event_step > MAX_PAUSE_STEPS;
                call.last_event_step = now;
            }
        }
        let has_ended = |call: &mut Running| call.unread_tokens == 0 && call.steps_left == 0;
        self.calls.extract_if(.., has_ended).collect()
    }

    fn calls_count(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX)
    }

    fn unread_tokens(&self) -> u32 {
        self.calls.iter().map(|call| call.unread_tokens).sum()
    }
}

/// Loads of all engines as the instances reported them: calls and unread tokens.
type Report = Vec<(u32, u32)>;

fn report(engines: &[Engine]) -> Report {
    let engines = engines.iter();
    engines
        .map(|engine| (engine.calls_count(), engine.unread_tokens()))
        .collect()
}

/// What an instance takes into account when it chooses an engine.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Weighed {
    Calls,
    CallsAndTokens,
}

/// Chooses an engine by what was reported and by the instance's `own_tokens` to be read.
fn place(
    weighed: Weighed,
    report: &Report,
    own_tokens: &[u32],
    session: u64,
    random: u64,
) -> usize {
    let known = report.iter().zip(own_tokens).zip(0_u64..);
    let candidates: Vec<_> = known
        .map(|(((calls_count, unread_tokens), own_tokens), seed)| {
            let candidate = Candidate::new(seed, SLOTS_COUNT);
            let candidate = candidate.with_in_flight(f64::from(*calls_count));
            match weighed {
                Weighed::Calls => candidate,
                Weighed::CallsAndTokens => {
                    candidate.with_unread_tokens(f64::from(*unread_tokens.max(own_tokens)))
                }
            }
        })
        .collect();
    choose(&candidates, Some(session), random).expect("an engine")
}

/// Plays the load; returns the share of calls that were of use.
fn play(weighed: Weighed, report_age_steps: usize, load_factor: f64, seed: u64) -> f64 {
    let mut engines = vec![Engine::default(); ENGINES_COUNT];
    let mut reports: VecDeque<Report> = VecDeque::new();
    let (mut in_time_count, mut calls_count) = (0.0, 0.0);
    let mut random = seed;
    let mut draw = || {
        random = random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        rendezvous::score(random, seed)
    };
    for now in 0..PLAYED_STEPS {
        reports.push_front(report(&engines));
        reports.truncate(report_age_steps + 1);
        for kind in [LONG, SHORT] {
            #[allow(clippy::cast_precision_loss)]
            let mean_count = kind.calls_per_s as f64 * load_factor * STEP_MS as f64 / 1e3;
            #[allow(clippy::cast_precision_loss)]
            let arrivals = (0..20).filter(|_| draw() as f64 / u64::MAX as f64 * 20.0 < mean_count);
            for _ in 0..arrivals.count() {
                let instance = draw() % INSTANCES_COUNT;
                let own: Vec<u32> = engines
                    .iter()
                    .map(|engine| {
                        let own = engine.calls.iter().filter(|it| it.instance == instance);
                        own.map(|it| it.unread_tokens).sum()
                    })
                    .collect();
                let report = reports.back().expect("a report");
                let chosen = place(weighed, report, &own, draw() % SESSIONS_COUNT, draw());
                engines[chosen].calls.push(Running {
                    kind,
                    sent_step: now,
                    instance,
                    unread_tokens: kind.prompt_tokens,
                    steps_left: kind.stream_steps,
                    last_event_step: now,
                    is_late: false,
                });
            }
        }
        for engine in &mut engines {
            for ended in engine.step(now) {
                calls_count += 1.0;
                in_time_count += f64::from(u8::from(!ended.is_late));
            }
        }
    }
    in_time_count / calls_count
}

#[test]
fn weighing_tokens_serves_more_calls_than_counting_calls() {
    for load_factor in [1.4, 1.8, 2.1] {
        for seed in [1, 2] {
            let [calls, tokens] = [Weighed::Calls, Weighed::CallsAndTokens]
                .map(|weighed| play(weighed, 30, load_factor, seed));
            println!(
                "load {load_factor}, seed {seed}: {calls:.3} by calls, {tokens:.3} with tokens"
            );
            assert!(
                tokens > calls + 0.01,
                "{tokens} with tokens, {calls} by calls"
            );
        }
    }
}

#[test]
fn fresh_loads_serve_more_calls_than_old_ones() {
    let [fresh, old] = [30, 150].map(|age| play(Weighed::CallsAndTokens, age, 1.4, 3));
    println!("{fresh:.3} with loads of 0.3 s, {old:.3} with loads of 1.5 s");
    assert!(
        fresh > old + 0.05,
        "{fresh} with fresh loads, {old} with old ones"
    );
}
