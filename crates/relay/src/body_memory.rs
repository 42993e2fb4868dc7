//! Bound on the memory that buffered bodies take together.

use {
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Unit in which the memory is counted, in bytes.
const UNIT_BYTES: usize = 1 << 10;

/// Memory for bodies, shared by all calls.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    free_units: Arc<Semaphore>,
}

/// Memory that is reserved for one body until this is dropped.
#[derive(Debug)]
pub(crate) struct BodyPermit {
    memory: BodyMemory,
    units: OwnedSemaphorePermit,
}

impl BodyMemory {
    /// Creates a memory of `max_bytes`.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            free_units: Arc::new(Semaphore::new(max_bytes / UNIT_BYTES)),
        }
    }

    /// Reserves memory for a body of `length` bytes; `None` if there is not enough.
    pub(crate) fn reserve(&self, length: usize) -> Option<BodyPermit> {
        Some(BodyPermit {
            memory: self.clone(),
            units: self.acquire(units(length))?,
        })
    }

    fn acquire(&self, units_count: usize) -> Option<OwnedSemaphorePermit> {
        let units_count = u32::try_from(units_count).ok()?;
        let free_units = self.free_units.clone();
        free_units.try_acquire_many_owned(units_count).ok()
    }
}

impl BodyPermit {
    /// Adapts the reservation to a body of `length` bytes. Returns false, and keeps what is reserved,
    /// if there is not enough memory.
    pub(crate) fn resize(&mut self, length: usize) -> bool {
        let wanted_count = units(length);
        let reserved_count = self.units.num_permits();
        if wanted_count <= reserved_count {
            drop(self.units.split(reserved_count - wanted_count));
            return true;
        }
        let Some(missing) = self.memory.acquire(wanted_count - reserved_count) else {
            return false;
        };
        self.units.merge(missing);
        true
    }
}

/// Units for a body of `length` bytes; at least 1.
fn units(length: usize) -> usize {
    length / UNIT_BYTES + 1
}
