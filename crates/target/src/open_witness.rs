//! A connection on which a target can be asked which process it is, open before a request is sent.

use {
    crate::{
        IncarnationProbe,
        client::PROCESS_EXIT_TIME,
        witness_connection::WitnessConnection,
        witness_slot::{Keeping, WitnessSlot},
    },
    std::sync::Arc,
    tokio::time::sleep,
};

/// Shows that a connection was open on which the target of a request can be asked, once the answer has ended,
/// which process it is. It ends if the path to the target is cut in between.
#[derive(Clone)]
pub struct OpenWitness {
    slot: Arc<WitnessSlot>,
    connection: Arc<WitnessConnection>,
    /// Whether the target had answered on it before the request is sent.
    is_proven: bool,
    /// Whether the target was known by then to keep connections on which it has answered.
    is_kept: bool,
    probe: Box<IncarnationProbe>,
}

impl std::fmt::Debug for OpenWitness {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("OpenWitness")
            .finish_non_exhaustive()
    }
}

impl OpenWitness {
    pub(crate) fn new(
        slot: Arc<WitnessSlot>,
        connection: Arc<WitnessConnection>,
        probe: IncarnationProbe,
    ) -> Self {
        Self {
            is_proven: connection.proven_at().is_some(),
            is_kept: slot.keeping() == Keeping::Kept,
            slot,
            connection,
            probe: Box::new(probe),
        }
    }

    pub(crate) fn connection(&self) -> &Arc<WitnessConnection> {
        &self.connection
    }

    /// Whether the target had answered on it before the request was sent.
    pub(crate) fn is_proven(&self) -> bool {
        self.is_proven
    }

    /// Whether a cut ends it, or another one that was opened before the request is sent may have to show that.
    pub(crate) fn is_sure_to_end(&self) -> bool {
        self.is_proven && self.is_kept
    }

    /// Whether the target is known to answer calls beside such a connection.
    pub(crate) fn serves_two(&self) -> bool {
        self.slot.serves_two()
    }

    /// Has the target say on all of them which process it is. A target that serves one connection after the other
    /// ends them then.
    pub(crate) fn ask_ahead(&self) {
        self.slot.ask_ahead(&self.connection, &self.probe);
        if let Some(spare) = self.slot.unasked_spare() {
            self.slot.ask_ahead(&spare, &self.probe);
        }
    }

    /// Records whether the target has answered a call beside it. If the call failed though the path was not cut,
    /// it may be that the target serves no other connection.
    pub(crate) fn record_call(&self, was_answered: bool) {
        let (slot, connection) = (Arc::clone(&self.slot), Arc::clone(&self.connection));
        if was_answered {
            slot.record_serves_two();
            return;
        }
        tokio::spawn(async move {
            // A process that ends closes its connections one after another.
            sleep(PROCESS_EXIT_TIME).await;
            if !connection.has_ended() {
                slot.record_serves_one();
            }
        });
    }
}
