//! A body with neither a length nor chunks, which ends with its connection.

use {
    crate::{
        Client, IncarnationProbe,
        client::PROCESS_EXIT_TIME,
        kept_witness::EndedAnswer,
        witness::{Unconfirmed, Witness},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Wait after which data or an end has just arrived, rather than lain unread.
const FRESH_WAIT: Duration = Duration::from_millis(10);

/// What is known of a body that ends with its connection, and what can show that it is complete.
pub(crate) struct UnframedBody {
    /// When the request was sent.
    sent_at: Instant,
    /// Latest time at which the connection is known to have been open, or not in use yet.
    open_at: Instant,
    /// When the last data came; `None` if none did after the head.
    last_data: Option<Instant>,
    ended_at: Option<Instant>,
    witness: Option<Witness>,
}

impl UnframedBody {
    /// The body of an answer whose head has arrived now.
    pub(crate) fn new(sent_at: Instant) -> Self {
        let now = Instant::now();
        Self {
            sent_at,
            open_at: if is_fresh(sent_at, now) { now } else { sent_at },
            last_data: None,
            ended_at: None,
            witness: None,
        }
    }

    /// Prepares for the end: `probe` asks the target at `address` whether the process that answers still
    /// runs.
    pub(crate) fn expect_incarnation(
        &mut self,
        client: Client,
        address: SocketAddr,
        probe: IncarnationProbe,
    ) {
        self.witness = Some(Witness::new(client, address, probe));
    }

    /// Records data that was waited for since `waits_from`.
    pub(crate) fn record_data(&mut self, waits_from: Instant) {
        let now = Instant::now();
        self.last_data = Some(now);
        if is_fresh(waits_from, now) {
            self.open_at = now;
        }
    }

    /// Records the end, which was waited for since `waits_from`.
    pub(crate) fn record_end(&mut self, waits_from: Instant) {
        let now = Instant::now();
        self.ended_at = Some(now);
        // A process that ends closes its connections one after another.
        if is_fresh(waits_from, now)
            && let Some(open_at) = now.checked_sub(PROCESS_EXIT_TIME)
        {
            self.open_at = self.open_at.max(open_at);
        }
    }

    /// Has the target show that the body is complete. Dropping the future loses nothing.
    pub(crate) async fn confirm(&mut self) -> Result<(), Unconfirmed> {
        let answer = EndedAnswer {
            sent: self.sent_at,
            last_open: self.open_at,
            ended: self.ended_at.unwrap_or_else(Instant::now),
        };
        let witness = self.witness.as_mut().ok_or(Unconfirmed::NoProbe)?;
        witness.confirm(answer, self.last_data).await
    }
}

/// Whether what arrives `now` was waited for so long that it has not lain unread.
fn is_fresh(waits_from: Instant, now: Instant) -> bool {
    now.duration_since(waits_from) >= FRESH_WAIT
}
