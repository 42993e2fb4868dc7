//! How a call deals with prompt parts that crash targets, and with crashing targets itself.

use {
    crate::{
        Declined, HeaderFormat, Reason, active_call::ActiveCall, admit::called_host, boot_time,
        call_recorder::CallRecorder, crash_check::CrashCheck, picked_target::PickedTarget,
        pool_probe::incarnation_probe,
    },
    hyper::http::uri::PathAndQuery,
    parts::{PartKey, part_key},
    quarantine::{CallIdentity, CallKey, CrashReport, ReportedSuspect, SuspectKey},
    std::time::Duration,
};

/// Retry delay for callers of a quarantined part or call. Retries before then only prolong the
/// quarantine.
const QUARANTINED_RETRY_AFTER: Duration = Duration::from_mins(10);
/// Retry delay for callers of a part or call that waits for the result of a trial, about the time that a
/// crash takes to count.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Longest label of a part or call that is reported, in bytes.
const MAX_LABEL_BYTES: usize = 64;

/// Why a call must be refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BlockingSuspect {
    /// The quarantined part, or the call itself.
    key: SuspectKey,
    /// When callers may try again.
    retry_after: Duration,
}

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Refuses the call if it or one of its parts crashes targets.
    pub(crate) fn check_quarantine(&self, recorder: &mut CallRecorder) -> Result<(), Declined> {
        let Some(BlockingSuspect { key, retry_after }) = self.blocking_suspect() else {
            return Ok(());
        };
        let reports = &self.inner.state.suspect_reports;
        reports.record_refusal(key, boot_time());
        self.record_identity(recorder);
        if let SuspectKey::Part(_) = key {
            recorder.line.quarantined_part = self.label(key);
        }
        Err(Declined::new(Reason::Quarantined).retry_after(retry_after))
    }

    /// The part, or the call itself, because of which the call must be refused.
    ///
    /// A quarantined suspect whose crashes another one explains is tried, but by one crash at a time: until
    /// that counts, further trials would only crash further targets.
    pub(crate) fn blocking_suspect(&self) -> Option<BlockingSuspect> {
        let view = self.inner.state.view();
        let quarantine = &view.quarantine;
        if quarantine.is_empty() {
            return None;
        }
        let reports = &self.inner.state.suspect_reports;
        let keys = self.suspect_keys();
        let blocking = quarantine.blocking_suspect(&keys);
        if let Some(key) = blocking.filter(|key| !reports.is_answered(*key)) {
            return Some(BlockingSuspect {
                key,
                retry_after: QUARANTINED_RETRY_AFTER,
            });
        }
        let mut quarantined = keys.iter().filter(|it| quarantine.is_quarantined(**it));
        let undecided =
            quarantined.find(|it| !reports.is_answered(**it) && reports.has_pending_crash(**it));
        undecided.map(|key| BlockingSuspect {
            key: *key,
            retry_after: UNDECIDED_RETRY_AFTER,
        })
    }

    /// Whether the call must not be sent again after a target crashed under it.
    pub(crate) fn may_have_crashed_target(&self) -> bool {
        let view = self.inner.state.view();
        !view.quarantine.is_empty() && view.quarantine.forbids_retry(&self.suspect_keys())
    }

    /// Records that a target began to answer the call, so that neither it nor any of its parts is at
    /// fault.
    pub(crate) fn record_answered(&self) {
        let reports = &self.inner.state.suspect_reports;
        let view = self.inner.state.view();
        let answered = if view.quarantine.has_calls() || reports.has_pending() {
            self.suspect_keys()
        } else {
            // No call is under suspicion, so the key of this one is not worth deriving.
            self.part_suspects().collect()
        };
        if !answered.is_empty() {
            reports.record_answer(&answered, boot_time());
        }
    }

    /// Checks in the background whether the target crashed, after it disconnected before it began
    /// to answer the call, which was sent at `sent_at`. If so, the call and the parts that no target
    /// has answered are reported.
    pub(crate) fn report_disconnect(&self, picked: &PickedTarget, sent_at: Duration) {
        let reports = self.inner.state.suspect_reports.clone();
        let keys = self.suspect_keys().into_iter();
        let unanswered = keys.filter(|key| !reports.is_answered(*key));
        let suspects: Vec<ReportedSuspect> = unanswered
            .map(|key| ReportedSuspect {
                key,
                label: self.label(key),
            })
            .collect();
        if suspects.is_empty() {
            return;
        }
        let at = boot_time();
        let crash = format!("{}@{}", picked.target.id, picked.target.started_unix_ms);
        let must_check = reports.begin_check(CrashReport {
            crash: crash.clone(),
            sent_at,
            at,
            suspects,
        });
        if !must_check {
            return;
        }
        let pools = &self.admitted.table.config().pools;
        let format = &self.inner.header_format;
        let check = CrashCheck {
            probe: incarnation_probe(format, &picked.target, pools, &self.pool),
            target: picked.target.clone(),
            broke_at: at,
            client: self.inner.client.clone(),
            state: self.inner.state.clone(),
        };
        tokio::spawn(async move {
            let has_crashed = check.has_crashed().await;
            reports.end_check(&crash, has_crashed);
        });
    }

    /// Key of the whole call, which is the same if it comes again.
    pub(crate) fn call_key(&self) -> CallKey {
        *self.call_key.get_or_init(|| {
            let uri = &self.head.uri;
            let path = uri
                .path_and_query()
                .map_or(uri.path(), PathAndQuery::as_str);
            let account = self.admitted.account.as_ref();
            let identity = CallIdentity {
                method: self.head.method.as_str(),
                host: called_host(&self.head),
                path,
                account: account.map_or("", |account| account.name.as_str()),
                parts: &self.part_keys,
                body: &self.body,
            };
            identity.key()
        })
    }

    /// Enters in the call's log line what identifies it if it comes again.
    pub(crate) fn record_identity(&self, recorder: &mut CallRecorder) {
        recorder.record_identity(&self.admitted.call, self.call_key());
    }

    /// What could be at fault if a target crashes under the call: its shared parts and the call.
    fn suspect_keys(&self) -> Vec<SuspectKey> {
        let call = SuspectKey::Call(self.call_key());
        self.part_suspects().chain([call]).collect()
    }

    fn part_suspects(&self) -> impl Iterator<Item = SuspectKey> {
        self.part_keys.iter().copied().map(SuspectKey::Part)
    }

    /// Id of a part of the call, or the call's method and path, shortened to at most
    /// [`MAX_LABEL_BYTES`].
    fn label(&self, key: SuspectKey) -> String {
        let mut label = match key {
            SuspectKey::Part(part) => self.part_id(part).to_owned(),
            SuspectKey::Call(_) => format!("{} {}", self.head.method, self.head.uri.path()),
        };
        label.truncate(label.floor_char_boundary(MAX_LABEL_BYTES));
        label
    }

    fn part_id(&self, key: PartKey) -> &str {
        let index = self.part_keys.iter().position(|it| *it == key);
        let prompt = self.admitted.call.prompt.as_ref();
        let part = index.and_then(|index| prompt?.parts.get(index));
        part.map_or("", |part| part.id.as_str())
    }
}

/// Keys of the parts of a prompt that can be at fault for a crash: all but the last, which is the
/// call's own. The keys contain neither model nor account.
pub(crate) fn part_keys(call: &crate::Call) -> Vec<PartKey> {
    let parts = call.prompt.iter().flat_map(|prompt| &prompt.parts);
    let mut keys: Vec<PartKey> = parts.map(|part| part_key("", &part.id)).collect();
    keys.pop();
    keys
}
