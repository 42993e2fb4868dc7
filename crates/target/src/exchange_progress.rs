//! Which bytes of an exchange have been written and read on its connection.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Most bytes that are read before the head of an answer is complete, interim answers included. Body
/// data that is read together with the head counts too. Bounds what an endless head makes this instance
/// read.
pub(crate) const MAX_HEAD_BYTES: usize = 4 << 20;

/// Which bytes of an exchange have been written and read. Shared by the caller and the task that owns
/// the connection.
#[derive(Debug, Default)]
pub(crate) struct ExchangeProgress {
    /// Whether bytes of a request may be left to be written.
    has_unwritten: AtomicBool,
    /// Whether the peer sent its last byte before that.
    has_ended_unwritten: AtomicBool,
    /// Whether the head of the answer is not complete.
    awaits_head: AtomicBool,
    /// Number of bytes read since the request was sent, until the head is complete.
    head_bytes: AtomicUsize,
}

impl ExchangeProgress {
    /// Records that a request is sent, whose answer is waited for.
    pub(crate) fn record_request(&self) {
        self.head_bytes.store(0, Ordering::Release);
        self.awaits_head.store(true, Ordering::Release);
    }

    /// Records that the head of the answer has arrived.
    pub(crate) fn record_head(&self) {
        self.awaits_head.store(false, Ordering::Release);
    }

    /// Records that bytes are being written, and more may be left.
    pub(crate) fn record_write(&self) {
        self.has_unwritten.store(true, Ordering::Release);
    }

    /// Records that no byte is left to be written.
    pub(crate) fn record_flush(&self) {
        self.has_unwritten.store(false, Ordering::Release);
    }

    /// Records that bytes were read. Returns whether a head may still have so many.
    pub(crate) fn record_read(&self, length: usize) -> bool {
        if !self.awaits_head.load(Ordering::Acquire) {
            return true;
        }
        let before = self.head_bytes.fetch_add(length, Ordering::AcqRel);
        before.saturating_add(length) <= MAX_HEAD_BYTES
    }

    /// Records that the peer sends no more.
    pub(crate) fn record_end(&self) {
        if !self.is_written() {
            self.has_ended_unwritten.store(true, Ordering::Release);
        }
    }

    /// Whether all requests so far are written.
    pub(crate) fn is_written(&self) -> bool {
        !self.has_unwritten.load(Ordering::Acquire)
    }

    /// Whether the peer had sent its last byte before the request was written.
    pub(crate) fn has_ended_unwritten(&self) -> bool {
        self.has_ended_unwritten.load(Ordering::Acquire)
    }
}
