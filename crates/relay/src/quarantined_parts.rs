//! How a call deals with prompt parts that crash targets.

use {
    crate::{
        HeaderFormat, Reason, Refusal, active_call::ActiveCall, boot_time,
        call_recorder::CallRecorder, pick::PickedTarget,
    },
    parts::{PartKey, part_key},
    quarantine::{CrashReport, ReportedPart},
    std::time::Duration,
    tokio::time::sleep,
};

/// Delay after a connection broke until the check whether the target still listens. A process that
/// dies closes its sockets one after the other.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(20);
/// Retry delay for callers of a quarantined part. Retries before then only prolong the quarantine.
const QUARANTINED_RETRY_AFTER: Duration = Duration::from_mins(10);
/// Longest id of a part that is reported, in bytes.
const MAX_PART_ID_BYTES: usize = 64;

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Refuses the call if one of its parts crashes targets.
    pub(crate) fn check_quarantine(&self, recorder: &mut CallRecorder) -> Result<(), Refusal> {
        let Some(part) = self.blocking_part() else {
            return Ok(());
        };
        let reports = &self.inner.state.part_reports;
        reports.record_refusal(part, boot_time());
        self.record_identity(recorder);
        recorder.line.quarantined_part = self.part_id(part);
        Err(Refusal::new(Reason::Quarantined).retry_after(QUARANTINED_RETRY_AFTER))
    }

    /// The part because of which the call must be refused.
    pub(crate) fn blocking_part(&self) -> Option<PartKey> {
        let reports = &self.inner.state.part_reports;
        let view = self.inner.state.view();
        let blocking = view.quarantine.blocking_part(&self.part_keys);
        blocking.filter(|part| !reports.is_answered(*part))
    }

    /// Whether the call must not be sent again after a target crashed under it.
    pub(crate) fn may_have_crashed_target(&self) -> bool {
        let view = self.inner.state.view();
        view.quarantine.forbids_retry(&self.part_keys)
    }

    /// Records that a target began to answer the call, so that none of its parts is at fault.
    pub(crate) fn record_answered_parts(&self) {
        if !self.part_keys.is_empty() {
            let reports = &self.inner.state.part_reports;
            reports.record_answer(&self.part_keys, boot_time());
        }
    }

    /// Checks in the background whether the target crashed, after it disconnected before it began
    /// to answer the call. If so, the parts that no target has answered are reported.
    pub(crate) fn report_disconnect(&self, picked: &PickedTarget) {
        let reports = self.inner.state.part_reports.clone();
        let parts = self.part_keys.iter();
        let unanswered: Vec<ReportedPart> = parts
            .filter(|part| !reports.is_answered(**part))
            .map(|part| ReportedPart {
                part: *part,
                id: self.part_id(*part),
            })
            .collect();
        if unanswered.is_empty() {
            return;
        }
        let client = self.inner.client.clone();
        let address = picked.target.address;
        let report = CrashReport {
            crash: format!("{}@{}", picked.target.id, picked.target.started_unix_ms),
            at: boot_time(),
            parts: unanswered,
        };
        tokio::spawn(async move {
            sleep(CRASH_CHECK_DELAY).await;
            if client.refuses_connections(address).await {
                reports.record_crash(report);
            }
        });
    }

    /// Id of a part of the call, shortened to at most [`MAX_PART_ID_BYTES`].
    fn part_id(&self, key: PartKey) -> String {
        let index = self.part_keys.iter().position(|it| *it == key);
        let prompt = self.admitted.call.prompt.as_ref();
        let part = index.and_then(|index| prompt?.parts.get(index));
        let id = part.map_or("", |part| part.id.as_str());
        id[..id.floor_char_boundary(MAX_PART_ID_BYTES)].to_owned()
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
