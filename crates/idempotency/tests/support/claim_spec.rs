//! The sequential specification of one request's claim, for the linearizability checker.

use {std::collections::BTreeSet, todc_utils::Specification};

/// An operation on the claim, with the id of the attempt or the index of the instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// An attempt of an instance acquired the claim.
    Acquired { attempt: u64, instance: usize },
    /// An attempt saw the stored answer.
    Done(u64),
    /// An attempt saw that an instance holds the claim.
    Pending(usize),
    /// An attempt saw that the outcome is unknown.
    Unknown,
    /// An attempt of an instance was refused. Its claim may exist until it is released.
    NotRun(usize),
    /// The holder released the claim.
    Released(u64),
    /// The holder stored this answer.
    Completed { attempt: u64, answer: u64 },
    /// The holder recorded that the outcome is unknown.
    OutcomeLost(u64),
}

/// State of the claim.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct State {
    phase: Phase,
    /// Instances whose refused attempts may still be seen as pending.
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

/// A claim can be acquired only while it is free, and its hold is ended only by its holder.
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
