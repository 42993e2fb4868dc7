//! A body with neither a length nor chunks, which ends with its connection.

use {
    crate::{
        EndEvidence, IncarnationProbe, WitnessAhead,
        client::PROCESS_EXIT_TIME,
        witness::{Unconfirmed, Witness},
        witness_slot::WitnessSlot,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Wait after which data or an end has just arrived, rather than lain unread.
const FRESH_WAIT: Duration = Duration::from_millis(10);
/// The same after the reader has let data lie for longer than [`AWAY_TIME`].
const FRESH_WAIT_AFTER_AWAY: Duration = Duration::from_secs(1);
/// Time between two reads in which data may come and lie unread.
const AWAY_TIME: Duration = Duration::from_millis(50);

/// An answer that has ended with its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAnswer {
    /// Latest time at which its connection is known to have been open, or not in use yet.
    pub(crate) last_open: Instant,
    /// When its last data came; `None` if none did after its head.
    pub(crate) last_data: Option<Instant>,
    /// When it ended.
    pub(crate) ended: Instant,
}

/// What is known of a body that ends with its connection, and what can show that it is complete.
pub(crate) struct UnframedBody {
    /// Since when the next part is waited for.
    waits_from: Instant,
    /// When the last part was read, or the head.
    read_at: Instant,
    /// Whether data may have lain unread since.
    was_away: bool,
    last_open: Instant,
    last_data: Option<Instant>,
    ended: Option<Instant>,
    witness: Option<Witness>,
}

impl UnframedBody {
    /// The body of an answer whose head has arrived now, to a request that was `sent` then.
    pub(crate) fn new(sent: Instant) -> Self {
        let now = Instant::now();
        Self {
            waits_from: now,
            read_at: now,
            was_away: false,
            last_open: sent,
            last_data: None,
            ended: None,
            witness: None,
        }
    }

    /// Prepares for the end: `probe` asks the target whether the process that answers still runs.
    /// `ahead` says what was done for that before the request was sent.
    pub(crate) fn expect_incarnation(
        &mut self,
        slot: Arc<WitnessSlot>,
        probe: IncarnationProbe,
        ahead: WitnessAhead,
        cut_spread: Duration,
    ) {
        self.witness = Some(Witness::new(slot, probe, ahead, cut_spread));
    }

    /// Records that the next part is waited for from now on.
    pub(crate) fn record_wait(&mut self) {
        self.waits_from = Instant::now();
        self.was_away |= self.waits_from.duration_since(self.read_at) > AWAY_TIME;
    }

    /// Records that data has come.
    pub(crate) fn record_data(&mut self) {
        let now = Instant::now();
        self.last_data = Some(now);
        self.read_at = now;
        if self.is_fresh(now) {
            self.was_away = false;
            self.last_open = now;
        }
    }

    /// Records the end.
    pub(crate) fn record_end(&mut self) {
        let now = Instant::now();
        self.ended = Some(now);
        // A process that ends closes its connections one after another.
        if self.is_fresh(now)
            && let Some(last_open) = now.checked_sub(PROCESS_EXIT_TIME)
        {
            self.last_open = self.last_open.max(last_open);
        }
    }

    /// Whether what arrives `now` was waited for so long that it has not lain unread.
    fn is_fresh(&self, now: Instant) -> bool {
        let fresh_wait = if self.was_away {
            FRESH_WAIT_AFTER_AWAY
        } else {
            FRESH_WAIT
        };
        now.duration_since(self.waits_from) >= fresh_wait
    }

    /// Has the target show that the body is complete. Dropping the future loses nothing.
    pub(crate) async fn confirm(&mut self) -> Result<EndEvidence, Unconfirmed> {
        let answer = EndedAnswer {
            last_open: self.last_open,
            last_data: self.last_data,
            ended: self.ended.unwrap_or_else(Instant::now),
        };
        let witness = self.witness.as_mut().ok_or(Unconfirmed::NoProbe)?;
        witness.confirm(answer).await
    }
}
