//! Sequential specification of the configuration for the linearizability check: two values that are
//! read together and changed together by compare-and-swap.

use todc_utils::specifications::Specification;

/// Values of the two objects; 0 if absent. Every change writes unique values.
pub type Values = [i32; 2];

/// Outcome of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The change was committed.
    Applied,
    /// The change was rejected because an object was not as expected.
    Conflict,
    /// The change was rejected for another reason; nothing was applied.
    Nothing,
}

/// One operation of an operator.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Reads both values.
    Read(Option<Values>),
    /// Replaces some of the values, provided that each of them is as expected.
    Change {
        expected: [Option<i32>; 2],
        new: [Option<i32>; 2],
        ended: Option<Ended>,
    },
}

/// What operators may observe if every operation takes effect as a whole at one moment between its
/// call and its answer.
pub struct ConfigurationSpec;

impl Specification for ConfigurationSpec {
    type State = Values;
    type Operation = Operation;

    fn init() -> Values {
        [0, 0]
    }

    fn apply(operation: &Operation, state: &Values) -> (bool, Values) {
        match operation {
            Operation::Read(value) => (*value == Some(*state), *state),
            Operation::Change {
                expected,
                new,
                ended,
            } => {
                let as_expected =
                    (0..2).all(|index| expected[index].is_none_or(|value| value == state[index]));
                match ended.expect("ended") {
                    Ended::Applied => {
                        let next = [0, 1].map(|index| new[index].unwrap_or(state[index]));
                        (as_expected, next)
                    }
                    Ended::Conflict => (!as_expected, *state),
                    Ended::Nothing => (true, *state),
                }
            }
        }
    }
}
