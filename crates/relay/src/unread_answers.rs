//! What callers have not read yet of their answers.

use {
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
    tokio_util::sync::CancellationToken,
};

/// Time that a caller has to read before its answer may have to give way.
const MIN_READING_TIME: Duration = Duration::from_secs(1);

/// Signal that the connection of an answer must be closed, since others need the memory that the answer holds.
/// An answer carries it as an extension.
#[derive(Clone, Debug, Default)]
pub struct Eviction {
    token: CancellationToken,
}

impl Eviction {
    /// Waits until the connection must be closed.
    pub async fn required(&self) {
        self.token.cancelled().await;
    }
}

/// Answers, and batches of events, that wait for their callers to read them. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnreadAnswers {
    answers: Arc<Mutex<Answers>>,
}

#[derive(Debug, Default)]
struct Answers {
    next_number: u64,
    /// In the order in which they were given.
    waiting: BTreeMap<u64, Unread>,
    /// Lengths of those whose connections are being closed.
    evicted: BTreeMap<u64, usize>,
}

#[derive(Debug)]
struct Unread {
    since: Instant,
    length: usize,
    eviction: Eviction,
}

/// Something of `length` bytes that is unread until this is dropped.
#[derive(Debug)]
pub(crate) struct UnreadGuard {
    number: u64,
    answers: UnreadAnswers,
}

impl UnreadAnswers {
    /// Notes that `length` bytes are handed to a caller, until what this returns is dropped.
    pub(crate) fn add(&self, length: usize, eviction: &Eviction) -> UnreadGuard {
        let mut answers = self.lock();
        let number = answers.next_number;
        answers.next_number += 1;
        let unread = Unread {
            since: Instant::now(),
            length,
            eviction: eviction.clone(),
        };
        answers.waiting.insert(number, unread);
        UnreadGuard {
            number,
            answers: self.clone(),
        }
    }

    /// Has the oldest answers give way whose callers had time to read them, until `length` bytes will be free.
    /// Returns how many answers had to.
    pub(crate) fn evict(&self, length: usize) -> usize {
        let mut answers = self.lock();
        let mut freed: usize = answers.evicted.values().sum();
        let mut evicted_count = 0;
        while freed < length
            && let Some(oldest) = answers.waiting.first_entry()
            && oldest.get().since.elapsed() >= MIN_READING_TIME
        {
            let (number, unread) = oldest.remove_entry();
            freed += unread.length;
            answers.evicted.insert(number, unread.length);
            if !unread.eviction.token.is_cancelled() {
                unread.eviction.token.cancel();
                evicted_count += 1;
            }
        }
        evicted_count
    }

    fn lock(&self) -> MutexGuard<'_, Answers> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for UnreadGuard {
    fn drop(&mut self) {
        let mut answers = self.answers.lock();
        answers.waiting.remove(&self.number);
        answers.evicted.remove(&self.number);
    }
}
