//! Copies of the in-memory key-value service, from which it can come back.

use {
    crate::{MemoryKv, memory_state::MemoryState},
    tokio::time::Instant,
};

/// A copy of an in-memory service: its keys, leases and history.
#[derive(Clone, Debug)]
pub struct KvCopy {
    state: MemoryState,
    taken_at: Instant,
}

impl MemoryKv {
    /// Takes a copy of the service as it is now.
    #[must_use]
    pub fn take_copy(&self) -> KvCopy {
        KvCopy {
            state: self.with_state(|state| state.clone()),
            taken_at: Instant::now(),
        }
    }

    /// Brings the service back from a copy, as a new incarnation if it names any. All that was written since
    /// the copy is gone; leases of the copy have the time left that they had then.
    pub fn restore(&self, copy: &KvCopy) {
        let age = copy.taken_at.elapsed();
        self.with_state(|state| state.replace(copy.state.clone(), age));
        self.notify_watches();
    }
}
