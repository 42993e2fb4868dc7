//! Helpers for mutexes.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, ignoring poisoning by a thread that panicked.
pub(crate) fn lock<Content>(mutex: &Mutex<Content>) -> MutexGuard<'_, Content> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
