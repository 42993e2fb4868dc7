//! Retention and look-up of records.

use {
    crate::{Record, RecordPart, Step, size::step_bytes, size_bytes},
    catalog::RequestId,
    std::{
        collections::{HashMap, VecDeque},
        fmt::Write,
        time::{Duration, Instant},
    },
};

/// Bounds of a [`RecordBuffer`]. The oldest record goes first when one is exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecordBufferLimits {
    /// Records kept.
    pub max_records_count: usize,
    /// Memory that records take, as [`size_bytes`] counts it.
    pub max_records_bytes: usize,
    /// Time that a record is kept.
    pub max_age: Duration,
    /// Estimates of other candidates kept in a record, best first; also the bound on candidates
    /// left out.
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
    inserted: Instant,
    bytes: usize,
    /// Steps that another instance has.
    sent_count: usize,
    /// Whether the request is in the queue of unsent ones.
    queued: bool,
}

/// Records of this instance and copies of other instances' records, by request id.
///
/// The clock is an argument; nothing here blocks or does I/O.
#[derive(Debug, Default)]
pub struct RecordBuffer {
    limits: RecordBufferLimits,
    entries: HashMap<RequestId, Entry>,
    oldest_first: VecDeque<RequestId>,
    unsent: VecDeque<RequestId>,
    records_bytes: usize,
}

impl RecordBuffer {
    /// An empty ring.
    #[must_use]
    pub fn new(limits: RecordBufferLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Keeps a record of this instance. Gives false, and keeps the older one, if the request id
    /// is already taken.
    pub fn insert(&mut self, record: Record, now: Instant) -> bool {
        if self.entries.contains_key(&record.request) {
            return false;
        }
        let request = record.request.clone();
        self.add(record, now);
        self.queue(&request);
        true
    }

    /// Adds a step to a record of this instance; false if the record is gone.
    pub fn append(&mut self, request: &str, step: Step, now: Instant) -> bool {
        let added = self.push_step(request, step);
        if added {
            self.queue(request);
            self.evict(now);
        }
        added
    }

    /// Takes in what another instance sent. Its steps are not sent on. A part for a request id
    /// that another client account or instance uses is ignored.
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

    /// The record of a request. Check [`Record::visible_to`] before a caller sees it.
    #[must_use]
    pub fn get(&self, request: &str) -> Option<&Record> {
        self.entries.get(request).map(|entry| &entry.record)
    }

    /// Records kept.
    #[must_use]
    pub fn records_count(&self) -> usize {
        self.entries.len()
    }

    /// Memory that the kept records take.
    #[must_use]
    pub fn records_bytes(&self) -> usize {
        self.records_bytes
    }

    /// Steps that no other instance has yet, oldest record first, up to `max_bytes` of memory and
    /// at least one part if there is any. They count as sent; give them to [`Self::requeue`] if
    /// sending fails.
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

    /// Counts the steps of parts that could not be sent as unsent again.
    pub fn requeue(&mut self, parts: &[RecordPart]) {
        for part in parts {
            if let Some(entry) = self.entries.get_mut(&part.record.request) {
                entry.sent_count = entry.sent_count.min(part.first_step);
            }
            self.queue(&part.record.request);
        }
    }

    /// Drops records that are older than the bound; call it now and then when nothing is added.
    pub fn evict(&mut self, now: Instant) {
        while let Some(request) = self.oldest_first.front() {
            let Some(entry) = self.entries.get(request) else {
                self.oldest_first.pop_front();
                continue;
            };
            let age = now.saturating_duration_since(entry.inserted);
            let fits = self.entries.len() <= self.limits.max_records_count
                && self.records_bytes <= self.limits.max_records_bytes
                && age <= self.limits.max_age;
            if fits {
                return;
            }
            self.records_bytes -= entry.bytes;
            self.entries.remove(request);
            self.oldest_first.pop_front();
        }
    }

    fn add(&mut self, mut record: Record, now: Instant) {
        for step in &mut record.steps {
            trim(step, self.limits.max_candidates_count);
        }
        let bytes = size_bytes(&record);
        self.records_bytes += bytes;
        self.oldest_first.push_back(record.request.clone());
        let entry = Entry {
            inserted: now,
            bytes,
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
        trim(&mut step, self.limits.max_candidates_count);
        let bytes = step_bytes(&step);
        entry.bytes += bytes;
        entry.record.steps.push(step);
        self.records_bytes += bytes;
        true
    }

    fn queue(&mut self, request: &str) {
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

/// Shortens the lists of candidates and says so in the step.
fn trim(step: &mut Step, candidates_count: usize) {
    match step {
        Step::Routed { choice, missing } => {
            let cut = choice.others.len().saturating_sub(candidates_count)
                + choice.rejected.len().saturating_sub(candidates_count);
            if cut > 0 {
                choice.others.truncate(candidates_count);
                choice.others.shrink_to_fit();
                choice.rejected.truncate(candidates_count);
                choice.rejected.shrink_to_fit();
                missing.push(format!("the record does not keep {cut} further candidates"));
            }
        }
        Step::Refused {
            reason, rejected, ..
        } => {
            let cut = rejected.len().saturating_sub(candidates_count);
            if cut > 0 {
                rejected.truncate(candidates_count);
                rejected.shrink_to_fit();
                // Writing to a String cannot fail.
                let _ = write!(reason, " ({cut} further candidates were left out too)");
            }
        }
        _ => {}
    }
}
