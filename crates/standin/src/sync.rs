//! Locks.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a value; a holder that panicked does not keep others from it.
pub(crate) fn lock<Content>(mutex: &Mutex<Content>) -> MutexGuard<'_, Content> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
