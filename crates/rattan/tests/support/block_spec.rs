//! The sequential specification of one block.

use {directory::Generation, todc_utils::specifications::Specification};

/// What a process did with one key, and how that ended.
#[derive(Clone, Debug)]
pub enum BlockOp {
    /// Wrote this generation; whether it became readable.
    Write(Generation, bool),
    /// Read; the generation that it got whole, if any.
    Read(Option<Generation>),
    /// Freed whatever there was.
    Free,
}

/// One block: the generation that may be read.
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
