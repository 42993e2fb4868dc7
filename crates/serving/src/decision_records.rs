//! The decision records of this instance, shared by its tasks.

use {
    catalog::RequestId,
    decision::{Record, RecordPart, Ring, RingLimits, Step, log_decision},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
};

/// The decision records of this instance, kept in a bounded ring. Clones share them.
#[derive(Clone, Debug)]
pub struct DecisionRecords {
    ring: Arc<Mutex<Ring>>,
}

impl DecisionRecords {
    /// Creates an empty set of records, bounded by `limits`.
    #[must_use]
    pub fn new(limits: RingLimits) -> Self {
        Self {
            ring: Arc::new(Mutex::new(Ring::new(limits))),
        }
    }

    /// Adds the record of a new request.
    pub fn begin(&self, record: Record) {
        self.lock().insert(record, Instant::now());
    }

    /// Adds a step to the record of a request. Steps that are decisions are also logged, one line
    /// each.
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

    /// Returns the record of a request, if this instance has it.
    #[must_use]
    pub fn get(&self, request: &RequestId) -> Option<Record> {
        self.lock().get(request).cloned()
    }

    /// Takes steps that were not replicated to another instance yet, up to `max_bytes`.
    #[must_use]
    pub fn take_unreplicated(&self, max_bytes: usize) -> Vec<RecordPart> {
        self.lock().take_unreplicated(max_bytes)
    }

    /// Returns steps that could not be sent, so that they are replicated later.
    pub fn put_back(&self, parts: &[RecordPart]) {
        self.lock().put_back(parts);
    }

    /// Merges in steps received from another instance.
    pub fn merge(&self, parts: Vec<RecordPart>) {
        let now = Instant::now();
        let mut ring = self.lock();
        for part in parts {
            ring.merge(part, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
