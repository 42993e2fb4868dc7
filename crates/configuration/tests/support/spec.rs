//! The configuration as an object with a sequential specification: two values that are read
//! together and changed together by compare-and-swap.

use todc_utils::specifications::Specification;

/// Values of the two objects; 0 if absent. Every change writes values of its own.
pub type Values = [i32; 2];

/// How a change ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// Accepted.
    Applied,
    /// Refused because an object was not as expected.
    Conflict,
    /// Refused for another reason; nothing was applied.
    Nothing,
}

/// One operation of an operator.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Read both values.
    Read(Option<Values>),
    /// Replace some values, each if it is as expected.
    Change {
        expected: [Option<i32>; 2],
        new: [Option<i32>; 2],
        ended: Option<Ended>,
    },
}

/// What operators may see if changes take effect one at a time, whole, between call and answer.
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
