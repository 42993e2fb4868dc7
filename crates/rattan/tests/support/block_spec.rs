//! Sequential specification of one block, for linearizability checks.

use {directory::Generation, todc_utils::specifications::Specification};

/// Operation of a process on one key, with its result.
#[derive(Clone, Debug)]
pub enum BlockOp {
    /// Write of a generation, and whether it was committed.
    Write(Generation, bool),
    /// Read, and the generation that was read completely, if any.
    Read(Option<Generation>),
    /// Free of whatever generation there was.
    Free,
}

/// Specification of one block, whose state is the readable generation.
pub struct BlockSpec;

impl Specification for BlockSpec {
    type State = Option<Generation>;
    type Operation = BlockOp;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &BlockOp, state: &Self::State) -> (bool, Self::State) {
        match operation {
            BlockOp::Write(generation, true) => (state.is_none(), Some(*generation)),
            BlockOp::Write(_, false) | BlockOp::Read(None) => (true, *state),
            BlockOp::Read(Some(generation)) => (*state == Some(*generation), *state),
            BlockOp::Free => (true, None),
        }
    }
}
