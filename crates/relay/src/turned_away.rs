//! Answers that arrived and are not believed.

use {snafu::Snafu, target::Unattributed};

/// Why an answer is not used. The call may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum TurnedAway {
    /// It may belong to another call of its connection.
    #[snafu(display("{reason}"))]
    Unattributed {
        /// Why.
        reason: Unattributed,
    },
    /// Its status promises that the call has not run, and nobody who was asked says so.
    #[snafu(display(
        "its status promises that the call did not run, without word of who was asked"
    ))]
    NoWord,
    /// It is a success without proof of its target.
    #[snafu(display("the answer carries no proof of its target"))]
    NoProof,
    /// A stream would go on with it, and nothing shows that it is by the process that its target's registration names.
    #[snafu(display(
        "nothing shows that it is by the registered process, whose software began the stream"
    ))]
    OtherProcess,
}

impl TurnedAway {
    /// Label of the metric that counts such answers.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Unattributed { reason } => match reason {
                Unattributed::OtherRequest => "other_request",
                Unattributed::NoRequestId => "no_request_id",
            },
            Self::NoWord => "no_word",
            Self::NoProof => "no_proof",
            Self::OtherProcess => "other_process",
        }
    }
}
