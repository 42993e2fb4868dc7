//! One budget for the bytes that an instance holds of calls and answers.

use {
    crate::unread_answers::{Eviction, UnreadAnswers, UnreadGuard},
    bytes::Bytes,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, timeout_at},
    },
};

/// Longest wait for memory for an answer, at whose target it stays meanwhile. Targets give up after some seconds.
const MEMORY_WAIT: Duration = Duration::from_secs(2);
/// How often a waiting answer has the oldest unread one give way.
const EVICTION_INTERVAL: Duration = Duration::from_millis(50);

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HeldFor {
    /// The body of a request, which may take two thirds of the budget, so that answers can be read.
    Request,
    /// An answer that is read as a whole, until its caller has taken it.
    Answer,
    /// Events that are read ahead of their caller, which may fill half of the budget.
    Events,
}

/// One budget for the bytes that an instance holds of calls and answers. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct HeldBytes {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    max_bytes: usize,
    counts: Mutex<Counts>,
    /// All that is held, for others to read.
    total: Arc<AtomicUsize>,
    released: Notify,
    unread: UnreadAnswers,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: usize,
    others: usize,
}

impl Counts {
    fn total(self) -> usize {
        self.requests + self.others
    }

    /// What is counted for this.
    fn of(&mut self, held_for: HeldFor) -> &mut usize {
        match held_for {
            HeldFor::Request => &mut self.requests,
            HeldFor::Answer | HeldFor::Events => &mut self.others,
        }
    }
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldPermit {
    held_bytes: HeldBytes,
    held_for: HeldFor,
    length: usize,
}

impl HeldBytes {
    /// Creates a budget of `max_bytes`. What is held is also written to `total`.
    pub(crate) fn new(max_bytes: usize, total: Arc<AtomicUsize>) -> Self {
        Self {
            shared: Arc::new(Shared {
                max_bytes,
                counts: Mutex::default(),
                total,
                released: Notify::new(),
                unread: UnreadAnswers::default(),
            }),
        }
    }

    /// Notes that `body`, which is held, is handed to a caller. Returns it with the signal that it must give way.
    pub(crate) fn hand_over(&self, body: Bytes) -> (Bytes, Eviction) {
        let eviction = Eviction::default();
        let unread = self.unread(body.len(), &eviction);
        let body = UnreadBody {
            bytes: body,
            _unread: unread,
        };
        (Bytes::from_owner(body), eviction)
    }

    /// Notes that `length` bytes are handed to a caller, until what this returns is dropped.
    pub(crate) fn unread(&self, length: usize, eviction: &Eviction) -> UnreadGuard {
        self.shared.unread.add(length, eviction)
    }

    /// Has the oldest unread answers give way so that `length` bytes more may be held.
    fn make_room(&self, length: usize) {
        let total = self.lock().total().saturating_add(length);
        let missing = total.saturating_sub(self.shared.max_bytes);
        let evicted_count = self.shared.unread.evict(missing);
        if evicted_count > 0 {
            log::info!(
                "{evicted_count} callers have not read their answers for long, and others need the memory: their \
                 connections are closed; see `memory_mb`"
            );
        }
    }

    /// Reserves `length` bytes; `None` if there are not so many.
    pub(crate) fn reserve(&self, held_for: HeldFor, length: usize) -> Option<HeldPermit> {
        let mut permit = self.hold(held_for, 0);
        permit.resize(length).then_some(permit)
    }

    /// Like [`HeldBytes::reserve`], for the body of a request. If there is no memory, the oldest unread
    /// answers give way to a later call.
    pub(crate) fn reserve_request(&self, length: usize) -> Option<HeldPermit> {
        let permit = self.reserve(HeldFor::Request, length);
        if permit.is_none() {
            self.make_room(length);
        }
        permit
    }

    /// Counts `length` bytes as held, whether or not there are so many.
    pub(crate) fn hold(&self, held_for: HeldFor, length: usize) -> HeldPermit {
        let mut counts = self.lock();
        *counts.of(held_for) += length;
        self.shared.total.store(counts.total(), Ordering::Relaxed);
        HeldPermit {
            held_bytes: self.clone(),
            held_for,
            length,
        }
    }

    /// Whether so many bytes more may be held for this.
    fn has_room(&self, counts: Counts, held_for: HeldFor, length: usize) -> bool {
        let max_bytes = self.shared.max_bytes;
        let total = counts.total().saturating_add(length);
        match held_for {
            HeldFor::Request => {
                let requests = counts.requests.saturating_add(length);
                total <= max_bytes && requests <= max_bytes / 3 * 2
            }
            HeldFor::Answer => total <= max_bytes,
            HeldFor::Events => total <= max_bytes / 2,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        let counts = self.shared.counts.lock();
        counts.unwrap_or_else(PoisonError::into_inner)
    }
}

impl HeldPermit {
    /// Adapts the reservation to `length` bytes. Returns false, and keeps what is reserved, if there are not so
    /// many.
    pub(crate) fn resize(&mut self, length: usize) -> bool {
        let held_bytes = &self.held_bytes;
        let mut counts = held_bytes.lock();
        let more = length.saturating_sub(self.length);
        if more > 0 && !held_bytes.has_room(*counts, self.held_for, more) {
            return false;
        }
        let held = counts.of(self.held_for);
        *held = *held + length - self.length;
        let shared = &held_bytes.shared;
        shared.total.store(counts.total(), Ordering::Relaxed);
        drop(counts);
        if length < self.length {
            shared.released.notify_waiters();
        }
        self.length = length;
        true
    }

    /// Adapts the reservation to `length` bytes as soon as there are so many. Meanwhile, the oldest unread answers
    /// give way. Returns false after 2 s, and at once beyond a third of the budget.
    pub(crate) async fn resize_soon(&mut self, length: usize) -> bool {
        let shared = Arc::clone(&self.held_bytes.shared);
        if length > shared.max_bytes / 3 {
            return false;
        }
        let deadline = Instant::now() + MEMORY_WAIT;
        while !self.resize(length) {
            let now = Instant::now();
            if now >= deadline {
                return false;
            }
            let held_length = self.length;
            self.held_bytes
                .make_room(length.saturating_sub(held_length));
            // The wait is short, since what was released before it began is not noticed.
            let _ = timeout_at(now + EVICTION_INTERVAL, shared.released.notified()).await;
        }
        true
    }

    /// Counts `bytes` as held until all copies of what this returns are dropped.
    pub(crate) fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBody {
            bytes,
            _permit: self,
        })
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        self.resize(0);
    }
}

struct UnreadBody {
    bytes: Bytes,
    _unread: UnreadGuard,
}

impl AsRef<[u8]> for UnreadBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

struct HeldBody {
    bytes: Bytes,
    _permit: HeldPermit,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
