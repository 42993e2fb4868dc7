//! Checks that what an instance follows is the present history of the key-value service, which may have come
//! back from an older copy without a word.

use {
    super::Follower,
    crate::{Platform, own_keys::HOLDER_KEY},
    catalog::Revision,
    keyvalue::{KeyValue, KvError},
    relay::boot_time,
    std::time::Duration,
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Time for which an aggregator answers nobody after it has noticed a return that the service does not name.
/// Longer than a request of a reader takes, so that each reader notices it too.
const READERS_NOTICE_TIME: Duration = Duration::from_millis(900);
/// Time for which an aggregator may lag behind its reader before that checks whether the service came back.
const MAX_LAG: Duration = Duration::from_secs(1);
/// Shortest time between two checks.
const CHECK_PERIOD: Duration = Duration::from_millis(300);
/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Checks of an instance that follows the service through an aggregator.
#[derive(Default)]
pub(super) struct HistoryChecks {
    running: JoinSet<()>,
    /// When the last one began.
    checked_at: Duration,
    /// Since when the aggregator lags behind this instance.
    behind_since: Option<Duration>,
}

impl<Kv, Format> Follower<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Ends what other instances follow through this one, after a return that the service does not name: they
    /// can't tell the revisions of before from those of now.
    pub(super) fn leave_history(&mut self) {
        if self.shared.incarnation().fall.is_some() {
            let until = boot_time() + READERS_NOTICE_TIME;
            self.shared.feed.service_log.close_until(until);
        }
    }

    /// Time until this instance may follow an aggregator: after a return that the service does not name, once the
    /// aggregators have noticed it too.
    pub(super) fn time_until_others_noticed(&self) -> Duration {
        let noticed_at = match self.shared.incarnation().fall {
            Some(_) => self.shared.incarnation_since().unwrap_or_default(),
            None => return Duration::ZERO,
        };
        (noticed_at + READERS_NOTICE_TIME).saturating_sub(boot_time())
    }

    /// Has everything read again, since changes may have been missed. Returns the error that ends the source.
    pub(super) async fn read_again(&mut self) -> KvError {
        self.is_doubtful = true;
        sleep(self.shared.return_pace().read_delay()).await;
        KvError::Compacted {
            revision: self.applied_revision.unwrap_or_default(),
        }
    }

    /// Reads the revision of the service, beside the source. If it is lower than what this instance has applied,
    /// the service came back from an older copy, and a new incarnation begins.
    pub(super) fn check_history(&mut self) {
        let now = boot_time();
        let checks = &mut self.history;
        while checks.running.try_join_next().is_some() {}
        let is_due = now.saturating_sub(checks.checked_at) >= CHECK_PERIOD;
        if !is_due || !checks.running.is_empty() {
            return;
        }
        checks.checked_at = now;
        let kv = self.shared.kv.clone();
        kv.note_revision(self.applied_revision.unwrap_or_default(), self.incarnation);
        checks.running.spawn(async move {
            if let Ok(Err(error)) = timeout(CHECK_TIMEOUT, kv.range(HOLDER_KEY)).await {
                log::info!("failed to check the revision of the key-value service: {error}");
            }
        });
    }

    /// Checks the history if the aggregator, which knows all changes up to `complete_until`, has lagged behind
    /// this instance for long.
    pub(super) fn check_lag(&mut self, complete_until: Revision) {
        if self.applied_revision <= Some(complete_until) {
            self.history.behind_since = None;
            return;
        }
        let now = boot_time();
        let since = *self.history.behind_since.get_or_insert(now);
        if now.saturating_sub(since) >= MAX_LAG {
            self.history.behind_since = None;
            self.check_history();
        }
    }
}
