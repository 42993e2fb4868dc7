//! The claim of one request as a sequential object.

use {std::collections::BTreeSet, todc_utils::Specification};

/// What happened to the claim, by id of the attempt or index of the instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// An attempt of an instance won.
    Acquired { attempt: u64, instance: usize },
    /// An attempt saw the stored answer.
    Done(u64),
    /// An attempt saw that an instance holds the claim.
    Pending(usize),
    /// An attempt saw that the outcome is unknown.
    Unknown,
    /// An attempt of an instance was refused. Its claim may be there until it is released.
    NotRun(usize),
    /// The winner gave the claim up.
    Released(u64),
    /// The winner stored this answer.
    Completed { attempt: u64, answer: u64 },
    /// The winner lost sight of the outcome.
    OutcomeLost(u64),
}

/// State of the claim.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct State {
    phase: Phase,
    /// Instances whose refused attempts may show up as pending.
    refused: BTreeSet<usize>,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
enum Phase {
    #[default]
    Free,
    Held {
        attempt: u64,
        instance: usize,
    },
    Done(u64),
    Unknown,
}

/// A claim is won only while free, and left only by its winner.
pub struct ClaimSpec;

impl Specification for ClaimSpec {
    type State = State;
    type Operation = Operation;

    fn init() -> State {
        State::default()
    }

    fn apply(operation: &Operation, state: &State) -> (bool, State) {
        let mut next = state.clone();
        let valid = match *operation {
            Operation::Acquired { attempt, instance } => {
                next.phase = Phase::Held { attempt, instance };
                state.phase == Phase::Free
            }
            Operation::Done(answer) => state.phase == Phase::Done(answer),
            Operation::Pending(instance) => {
                let held = matches!(state.phase, Phase::Held { instance: holder, .. } if holder == instance);
                let refused = state.phase == Phase::Free && state.refused.contains(&instance);
                held || refused
            }
            Operation::Unknown => state.phase == Phase::Unknown,
            Operation::NotRun(instance) => {
                next.refused.insert(instance);
                true
            }
            Operation::Released(attempt) => end_hold(state, &mut next, attempt, Phase::Free),
            Operation::Completed { attempt, answer } => {
                end_hold(state, &mut next, attempt, Phase::Done(answer))
            }
            Operation::OutcomeLost(attempt) => end_hold(state, &mut next, attempt, Phase::Unknown),
        };
        if valid {
            (true, next)
        } else {
            (false, state.clone())
        }
    }
}

fn end_hold(state: &State, next: &mut State, attempt: u64, phase: Phase) -> bool {
    next.phase = phase;
    matches!(state.phase, Phase::Held { attempt: holder, .. } if holder == attempt)
}
