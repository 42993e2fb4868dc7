//! The records of this instance's decisions, shared by its tasks.

use {
    catalog::RequestId,
    decision::{Record, RecordBuffer, RecordBufferLimits, RecordPart, Step, log_decision},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
};

/// The records of this instance's decisions. Clones share them.
#[derive(Clone, Debug)]
pub struct DecisionRecords {
    ring: Arc<Mutex<RecordBuffer>>,
}

impl DecisionRecords {
    /// An empty journal within `limits`.
    #[must_use]
    pub fn new(limits: RecordBufferLimits) -> Self {
        Self {
            ring: Arc::new(Mutex::new(RecordBuffer::new(limits))),
        }
    }

    /// Starts the record of a request.
    pub fn begin(&self, record: Record) {
        self.lock().insert(record, Instant::now());
    }

    /// Adds a step. Decisions are also logged, one line each.
    pub fn add_step(&self, request: &str, step: Step) {
        let is_decision = matches!(
            step,
            Step::Refused { .. } | Step::Routed { .. } | Step::Exported { .. }
        );
        let mut ring = self.lock();
        ring.append(request, step, Instant::now());
        let record = ring.get(request).filter(|_| is_decision).cloned();
        drop(ring);
        if let Some(record) = record {
            log_decision(&record);
        }
    }

    /// The record of a request, if this instance has it.
    #[must_use]
    pub fn get(&self, request: &RequestId) -> Option<Record> {
        self.lock().get(request).cloned()
    }

    /// Steps that no other instance has yet, up to `max_bytes`.
    #[must_use]
    pub fn take_unreplicated(&self, max_bytes: usize) -> Vec<RecordPart> {
        self.lock().take_unreplicated(max_bytes)
    }

    /// Gives back steps that could not be sent.
    pub fn put_back(&self, parts: &[RecordPart]) {
        self.lock().requeue(parts);
    }

    /// Takes in steps of another instance.
    pub fn merge(&self, parts: Vec<RecordPart>) {
        let now = Instant::now();
        let mut ring = self.lock();
        for part in parts {
            ring.merge(part, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, RecordBuffer> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
