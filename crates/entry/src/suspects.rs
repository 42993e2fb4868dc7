//! Shares what instances know of prompt parts and calls that crash targets, through the key-value
//! service.
//!
//! Each crash of a target under a call is a record of its own for the call and for each of its suspect
//! parts, and so is the word that a part or call was answered, so instances never have to agree on a
//! value. The records are bound to a lease and expire unless such calls keep coming.

use {
    crate::{
        SuspectRecord,
        own_keys::{answered_key, crash_key},
        record_lease::{MAX_WRITTEN_COUNT, REFRESH_AGE, RecordChange, RecordLease},
        shared::Shared,
    },
    bytes::Bytes,
    keyvalue::{KeyValue, KvError},
    quarantine::{CrashId, Suspect, SuspectKey},
    relay::boot_time,
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    supervisor::ChildResult,
    tokio::time::sleep,
    tokio_util::sync::CancellationToken,
};

/// Interval between checks for records to write again, because calls were refused for a quarantined
/// part or call.
const REFRESH_CHECK_PERIOD: Duration = Duration::from_secs(10);
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Records that wait to be written, beyond which further ones are dropped.
const MAX_UNWRITTEN_COUNT: usize = 512;
/// Longest delay per instance before a suspect is declared answered, so that the first one to do so
/// spares the others the write.
const ANSWERED_DELAY_PER_INSTANCE: Duration = Duration::from_millis(12);
/// Longest such delay.
const MAX_ANSWERED_DELAY: Duration = Duration::from_millis(1_200);

/// Reports suspect and answered parts and calls until `token` is cancelled.
pub(crate) async fn report<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    token: CancellationToken,
) -> ChildResult
where
    Kv: KeyValue,
    Format: Send + Sync + 'static,
{
    let mut reporter = Reporter {
        shared: shared.clone(),
        unwritten: VecDeque::new(),
        answered_at: HashMap::new(),
        lease: RecordLease::default(),
    };
    loop {
        let changed = shared.changed.notified();
        let crashed = shared.relay_state.suspect_reports.crashed();
        let wait = tokio::select! {
            () = token.cancelled() => return Ok(()),
            wait = reporter.update() => wait,
        };
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = crashed => {}
            () = changed => {}
            () = sleep(wait) => {}
        }
    }
}

/// A record to write.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Unwritten {
    key: String,
    label: String,
}

struct Reporter<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    unwritten: VecDeque<Unwritten>,
    /// When to declare a suspect answered.
    answered_at: HashMap<SuspectKey, Duration>,
    lease: RecordLease,
}

impl<Kv, Format> Reporter<Kv, Format>
where
    Kv: KeyValue,
{
    /// Collects and writes what is to be told. Returns the time until there may be more.
    async fn update(&mut self) -> Duration {
        let now = boot_time();
        self.collect_crashes(now);
        self.collect_answered(now);
        self.collect_refreshes(now);
        if let Err(error) = self.write().await {
            log::info!("failed to write records of suspects, retrying: {error}");
            return RETRY_DELAY;
        }
        let now = boot_time();
        let next_crash = self.shared.relay_state.suspect_reports.time_until_due(now);
        let next_answered = self.answered_at.values().min();
        let next_answered = next_answered.map(|at| at.saturating_sub(now));
        let next = [next_crash, next_answered].into_iter().flatten().min();
        next.map_or(REFRESH_CHECK_PERIOD, |next| next.min(REFRESH_CHECK_PERIOD))
    }

    /// Counts the crashes that are due, here at once and for the other instances once written.
    fn collect_crashes(&mut self, now: Duration) {
        let due = self
            .shared
            .relay_state
            .suspect_reports
            .take_due_crashes(now);
        let is_empty = due.is_empty();
        for report in due {
            for reported in report.suspects {
                let known = self.shared.known();
                let is_news = known.quarantine().lacks_crash(reported.key, &report.crash);
                drop(known);
                if is_news {
                    self.shared
                        .note_crash(reported.key, &reported.label, &report.crash);
                    self.add(crash_key(reported.key, &report.crash), reported.label);
                }
            }
        }
        if !is_empty {
            self.shared.publish();
        }
    }

    /// Declares suspects answered that targets answered for this instance.
    fn collect_answered(&mut self, now: Duration) {
        let reports = &self.shared.relay_state.suspect_reports;
        let known = self.shared.known();
        let suspects = known.quarantine().suspects();
        let answered: HashMap<SuspectKey, String> = suspects
            .filter(|(key, suspect)| !suspect.is_answered && reports.is_answered(*key))
            .map(|(key, suspect)| (key, suspect.label.clone()))
            .collect();
        let instances_count = u32::try_from(known.ready_members().len()).unwrap_or(u32::MAX);
        drop(known);
        self.answered_at.retain(|key, _| answered.contains_key(key));
        let max_delay = ANSWERED_DELAY_PER_INSTANCE.saturating_mul(instances_count);
        let max_delay = max_delay.min(MAX_ANSWERED_DELAY);
        for (key, label) in answered {
            let at = self
                .answered_at
                .entry(key)
                .or_insert_with(|| now + max_delay.mul_f64(rand::random()));
            if *at <= now {
                // Written again if the write is not seen in time.
                *at = now + MAX_ANSWERED_DELAY;
                self.add(answered_key(key), label);
            }
        }
    }

    /// Writes the records of quarantined suspects again if calls keep being refused for them.
    fn collect_refreshes(&mut self, now: Duration) {
        let reports = &self.shared.relay_state.suspect_reports;
        let mut known = self.shared.known();
        let is_due = |key: SuspectKey, suspect: &Suspect| {
            let refused_at = reports.refused_at(key);
            refused_at.is_some_and(|at| at > suspect.written_at)
                && now.saturating_sub(suspect.written_at) > REFRESH_AGE
                && known.quarantine().is_quarantined(key)
        };
        let due: Vec<(SuspectKey, String, Vec<CrashId>)> = known
            .quarantine()
            .suspects()
            .filter(|(key, suspect)| is_due(*key, suspect))
            .map(|(key, suspect)| {
                let crashes = suspect.crashes.iter().cloned().collect();
                (key, suspect.label.clone(), crashes)
            })
            .collect();
        for (key, ..) in &due {
            known.set_suspect_written(*key, now);
        }
        drop(known);
        for (key, label, crashes) in due {
            for crash in crashes {
                self.add(crash_key(key, &crash), label.clone());
            }
        }
    }

    fn add(&mut self, key: String, label: String) {
        if self.unwritten.len() >= MAX_UNWRITTEN_COUNT {
            log::warn!("too many records of suspects wait to be written; dropping {key}");
            return;
        }
        self.unwritten.push_back(Unwritten { key, label });
    }

    async fn write(&mut self) -> Result<(), KvError> {
        while !self.unwritten.is_empty() {
            let count = self.unwritten.len().min(MAX_WRITTEN_COUNT);
            let batch = self.unwritten.iter().take(count);
            let puts = batch.map(|unwritten| {
                let value = self.encode(&unwritten.label);
                RecordChange::Put(unwritten.key.clone(), value)
            });
            let puts = puts.collect();
            self.lease.write(&self.shared.kv, puts).await?;
            self.unwritten.drain(..count);
        }
        Ok(())
    }

    fn encode(&self, label: &str) -> Bytes {
        let record = SuspectRecord {
            label: label.to_owned(),
            instance: self.shared.settings.instance.clone(),
        };
        // A struct of two strings always has a JSON form.
        serde_json::to_vec(&record).unwrap_or_default().into()
    }
}
