//! What is done before a request is sent, so that the end of its answer can be shown.

use {
    crate::{OpenWitness, Reuse},
    std::{pin::pin, time::Duration},
    tokio::time::timeout,
};

/// Wait for the begin of an answer after which it is found out whether the target serves two connections.
const SERVES_TWO_WAIT: Duration = Duration::from_millis(250);

/// What was done, before a request was sent, so that the end of its answer can be shown.
#[derive(Clone, Debug, Default)]
pub enum WitnessAhead {
    /// Nothing: its target was not known to answer with neither a length nor chunks.
    #[default]
    NotNeeded,
    /// This connection was open.
    Open(OpenWitness),
    /// None could be opened.
    Failed,
}

impl WitnessAhead {
    /// Limits which connections may carry the request: no earlier one, unless a cut is sure to end the one that is
    /// to show it. Of two that wait to be accepted, the later one is not accepted first.
    #[must_use]
    pub fn limit(&self, reuse: Reuse) -> Reuse {
        match self {
            Self::Open(witness) if !witness.is_sure_to_end() => Reuse::Fresh,
            _ => reuse,
        }
    }

    /// Waits for the begin of the answer, as `sending` does, and fails with it. Finds out meanwhile whether the
    /// target serves the open connection and that of the request at the same time.
    ///
    /// # Errors
    /// Those of `sending`.
    pub async fn beside<Sending, Answer, Failure>(
        &self,
        sending: Sending,
    ) -> Result<Answer, Failure>
    where
        Sending: Future<Output = Result<Answer, Failure>>,
    {
        let mut sending = pin!(sending);
        let unproven = match self {
            Self::Open(witness) if !witness.serves_two() => witness,
            _ => return sending.await,
        };
        let sent = if let Ok(sent) = timeout(SERVES_TWO_WAIT, &mut sending).await {
            sent
        } else {
            unproven.ask_ahead();
            sending.await
        };
        unproven.record_call(sent.is_ok());
        sent
    }
}
