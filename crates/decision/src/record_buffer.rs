//! Keeps recent records in memory, with lookup by request id.

use {
    crate::{Record, RecordPart, Step, size::step_bytes, size_bytes},
    catalog::RequestId,
    std::{
        collections::{HashMap, VecDeque},
        fmt::Write,
        time::{Duration, Instant},
    },
};

/// Limits of a [`RecordBuffer`]. When one is exceeded, the oldest records are evicted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecordBufferLimits {
    /// Largest number of records.
    pub max_records_count: usize,
    /// Most memory that all records may take, as [`size_bytes`] estimates it.
    pub max_records_bytes: usize,
    /// Longest time that a record is kept.
    pub max_age: Duration,
    /// Most other candidates kept in a routing step, best first. The same limit applies separately
    /// to rejected candidates.
    pub max_candidates_count: usize,
}

impl Default for RecordBufferLimits {
    /// 16 MiB, 40,000 records, four hours, four candidates.
    fn default() -> Self {
        Self {
            max_records_count: 40_000,
            max_records_bytes: 16 << 20,
            max_age: Duration::from_hours(4),
            max_candidates_count: 4,
        }
    }
}

#[derive(Debug)]
struct Entry {
    record: Record,
    inserted_at: Instant,
    size_bytes: usize,
    /// Leading steps of the record that were handed out for replication or came from another
    /// instance.
    sent_count: usize,
    /// Whether the request id is in `RecordBuffer::unsent`.
    queued: bool,
}

/// Records of this instance and replicas of other instances' records, by request id.
///
/// The current time is an argument. No method blocks or does I/O.
#[derive(Debug, Default)]
pub struct RecordBuffer {
    limits: RecordBufferLimits,
    entries: HashMap<RequestId, Entry>,
    /// Request ids in insertion order, for eviction.
    oldest_first: VecDeque<RequestId>,
    /// Requests that have steps to replicate.
    unsent: VecDeque<RequestId>,
    /// Sum of `size_bytes` over all entries.
    records_bytes: usize,
}

impl RecordBuffer {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new(limits: RecordBufferLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Inserts a record of this instance and queues it for replication. If there is already a
    /// record with this request id, keeps the old one and returns false.
    pub fn insert(&mut self, record: Record, now: Instant) -> bool {
        if self.entries.contains_key(&record.request) {
            return false;
        }
        let request = record.request.clone();
        self.add(record, now);
        self.queue_unsent(&request);
        true
    }

    /// Appends a step to a record of this instance and queues it for replication. Returns false if
    /// there is no such record, for example because it was evicted.
    pub fn append(&mut self, request: &str, step: Step, now: Instant) -> bool {
        let added = self.push_step(request, step);
        if added {
            self.queue_unsent(request);
            self.evict(now);
        }
        added
    }

    /// Adds the steps that another instance replicated; they are not replicated further. A part is
    /// ignored if a record of another client account or instance has the same request id.
    pub fn merge(&mut self, part: RecordPart, now: Instant) {
        let RecordPart { first_step, record } = part;
        let Some(entry) = self.entries.get(&record.request) else {
            let request = record.request.clone();
            self.add(record, now);
            self.mark_sent(&request);
            return;
        };
        let known = &entry.record;
        if known.client_account != record.client_account || known.instance != record.instance {
            return;
        }
        let known_count = known.steps.len().saturating_sub(first_step);
        for step in record.steps.into_iter().skip(known_count) {
            self.push_step(&record.request, step);
        }
        self.mark_sent(&record.request);
        self.evict(now);
    }

    /// Returns the record of a request. Check [`Record::visible_to`] before showing it to a caller.
    #[must_use]
    pub fn get(&self, request: &str) -> Option<&Record> {
        self.entries.get(request).map(|entry| &entry.record)
    }

    /// Returns the number of records.
    #[must_use]
    pub fn records_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the memory that all records take, in bytes.
    #[must_use]
    pub fn records_bytes(&self) -> usize {
        self.records_bytes
    }

    /// Takes steps that have not been replicated yet, in the order in which their requests were
    /// queued. The parts take up to `max_bytes` of memory, but there is at least one if any step is
    /// unsent. The steps count as sent from now on; pass the parts to [`Self::requeue`] if sending
    /// fails.
    pub fn take_unreplicated(&mut self, max_bytes: usize) -> Vec<RecordPart> {
        let mut parts = Vec::new();
        let mut taken_bytes = 0;
        while let Some(request) = self.unsent.front() {
            let part = self.entries.get(request).map(unsent_part);
            let part_bytes = part.as_ref().map_or(0, |part| size_bytes(&part.record));
            if !parts.is_empty() && taken_bytes + part_bytes > max_bytes {
                break;
            }
            taken_bytes += part_bytes;
            parts.extend(part);
            if let Some(request) = self.unsent.pop_front() {
                self.mark_sent(&request);
            }
        }
        parts
    }

    /// Marks the steps of parts that could not be sent as unsent again.
    pub fn requeue(&mut self, parts: &[RecordPart]) {
        for part in parts {
            if let Some(entry) = self.entries.get_mut(&part.record.request) {
                entry.sent_count = entry.sent_count.min(part.first_step);
            }
            self.queue_unsent(&part.record.request);
        }
    }

    /// Evicts the oldest records until all limits are met. Insertions do this as well; call it
    /// periodically so that old records are evicted even while nothing is inserted.
    pub fn evict(&mut self, now: Instant) {
        while let Some(request) = self.oldest_first.front() {
            let Some(entry) = self.entries.get(request) else {
                self.oldest_first.pop_front();
                continue;
            };
            let age = now.saturating_duration_since(entry.inserted_at);
            let within_limits = self.entries.len() <= self.limits.max_records_count
                && self.records_bytes <= self.limits.max_records_bytes
                && age <= self.limits.max_age;
            if within_limits {
                return;
            }
            self.records_bytes -= entry.size_bytes;
            self.entries.remove(request);
            self.oldest_first.pop_front();
        }
    }

    fn add(&mut self, mut record: Record, now: Instant) {
        for step in &mut record.steps {
            truncate_candidates(step, self.limits.max_candidates_count);
        }
        let size_bytes = size_bytes(&record);
        self.records_bytes += size_bytes;
        self.oldest_first.push_back(record.request.clone());
        let entry = Entry {
            inserted_at: now,
            size_bytes,
            sent_count: 0,
            queued: false,
            record,
        };
        self.entries.insert(entry.record.request.clone(), entry);
        self.evict(now);
    }

    fn push_step(&mut self, request: &str, mut step: Step) -> bool {
        let Some(entry) = self.entries.get_mut(request) else {
            return false;
        };
        truncate_candidates(&mut step, self.limits.max_candidates_count);
        let step_bytes = step_bytes(&step);
        entry.size_bytes += step_bytes;
        entry.record.steps.push(step);
        self.records_bytes += step_bytes;
        true
    }

    /// Queues a request for replication unless it is queued already.
    fn queue_unsent(&mut self, request: &str) {
        if let Some(entry) = self.entries.get_mut(request)
            && !entry.queued
        {
            entry.queued = true;
            self.unsent.push_back(entry.record.request.clone());
        }
    }

    fn mark_sent(&mut self, request: &str) {
        if let Some(entry) = self.entries.get_mut(request) {
            entry.queued = false;
            entry.sent_count = entry.record.steps.len();
        }
    }
}

fn unsent_part(entry: &Entry) -> RecordPart {
    let record = &entry.record;
    RecordPart {
        first_step: entry.sent_count,
        record: Record {
            request: record.request.clone(),
            client_account: record.client_account.clone(),
            instance: record.instance.clone(),
            model_version: record.model_version.clone(),
            revision: record.revision,
            arrived: record.arrived,
            steps: record.steps[entry.sent_count..].to_vec(),
        },
    }
}

/// Truncates the candidate lists of a step and notes in the step how many candidates were dropped.
fn truncate_candidates(step: &mut Step, max_candidates_count: usize) {
    match step {
        Step::Routed { choice, missing } => {
            let dropped_count = choice.others.len().saturating_sub(max_candidates_count)
                + choice.rejected.len().saturating_sub(max_candidates_count);
            if dropped_count > 0 {
                choice.others.truncate(max_candidates_count);
                choice.others.shrink_to_fit();
                choice.rejected.truncate(max_candidates_count);
                choice.rejected.shrink_to_fit();
                missing.push(format!(
                    "the record does not keep {dropped_count} further candidates"
                ));
            }
        }
        Step::Refused {
            reason, rejected, ..
        } => {
            let dropped_count = rejected.len().saturating_sub(max_candidates_count);
            if dropped_count > 0 {
                rejected.truncate(max_candidates_count);
                rejected.shrink_to_fit();
                // Writing to a String cannot fail.
                let _ = write!(
                    reason,
                    " ({dropped_count} further candidates were left out too)"
                );
            }
        }
        _ => {}
    }
}
