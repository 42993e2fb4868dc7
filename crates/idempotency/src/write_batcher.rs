//! Transactions of one instance that share calls to the key-value service.

use {
    keyvalue::{KeyValue, KvError, Op, Txn, TxnOutcome},
    std::{
        collections::{HashSet, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::oneshot,
};

/// Transactions in one call; etcd's default limit is 128.
const MAX_BATCH_TXN_COUNT: usize = 64;
/// Size of all values in one call, in bytes; etcd's default limit is 1.5 MiB.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// Calls in flight. Further transactions wait and are grouped.
const MAX_IN_FLIGHT_CALL_COUNT: usize = 2;
/// Transactions that may wait.
const MAX_QUEUED_COUNT: usize = 4096;

/// A transaction on one key that waits for its turn.
#[derive(Debug)]
struct QueuedTxn {
    key: String,
    size_bytes: usize,
    txn: Txn,
    answer: oneshot::Sender<Result<TxnOutcome, KvError>>,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<QueuedTxn>,
    in_flight_call_count: usize,
}

/// Why a transaction was not answered.
#[derive(Debug)]
pub(crate) enum BatchError {
    /// The queue is full; nothing was sent.
    QueueFull(usize),
    /// The key-value service failed.
    Kv(KvError),
}

/// Groups transactions that arrive while others are in flight. An idle group adds no wait.
#[derive(Debug)]
pub(crate) struct WriteBatcher<Kv> {
    kv: Kv,
    queue: Arc<Mutex<Queue>>,
}

impl<Kv> Clone for WriteBatcher<Kv>
where
    Kv: KeyValue,
{
    fn clone(&self) -> Self {
        Self {
            kv: self.kv.clone(),
            queue: self.queue.clone(),
        }
    }
}

impl<Kv> WriteBatcher<Kv>
where
    Kv: KeyValue,
{
    /// Groups calls to `kv`.
    pub(crate) fn new(kv: Kv) -> Self {
        Self {
            kv,
            queue: Arc::default(),
        }
    }

    /// Runs a transaction that touches only `key`, together with others. It goes on to its end
    /// also if the caller stops waiting.
    pub(crate) async fn run(&self, key: &str, txn: Txn) -> Result<TxnOutcome, BatchError> {
        let (answer, answered) = oneshot::channel();
        let queued = QueuedTxn {
            key: key.to_owned(),
            size_bytes: size_bytes(&txn),
            txn,
            answer,
        };
        if self.enqueue(queued)? {
            tokio::spawn(self.clone().send_queued());
        }
        let dropped = KvError::Unknown {
            reason: "group was dropped".to_owned(),
        };
        answered
            .await
            .unwrap_or(Err(dropped))
            .map_err(BatchError::Kv)
    }

    /// Queues a transaction; true if a further call may be started for it.
    fn enqueue(&self, queued: QueuedTxn) -> Result<bool, BatchError> {
        let mut queue = self.lock();
        if queue.waiting.len() >= MAX_QUEUED_COUNT {
            return Err(BatchError::QueueFull(queue.waiting.len()));
        }
        queue.waiting.push_back(queued);
        let may_start_call = queue.in_flight_call_count < MAX_IN_FLIGHT_CALL_COUNT;
        if may_start_call {
            queue.in_flight_call_count += 1;
        }
        Ok(may_start_call)
    }

    /// Sends groups until nothing waits.
    async fn send_queued(self) {
        while let Some(batch) = self.next_batch() {
            self.send(batch).await;
        }
    }

    fn next_batch(&self) -> Option<Vec<QueuedTxn>> {
        let mut queue = self.lock();
        let batch = take_batch(&mut queue.waiting);
        if batch.is_empty() {
            queue.in_flight_call_count -= 1;
            return None;
        }
        Some(batch)
    }

    async fn send(&self, mut batch: Vec<QueuedTxn>) {
        if batch.len() == 1
            && let Some(single) = batch.pop()
        {
            let outcome = self.kv.txn(single.txn).await;
            let _ = single.answer.send(outcome);
            return;
        }
        let (ops, answers): (Vec<Op>, Vec<_>) = batch
            .into_iter()
            .map(|queued| (Op::Txn(queued.txn), queued.answer))
            .unzip();
        let batch_txn = Txn {
            success: ops,
            ..Txn::default()
        };
        let mut outcomes = outcomes(self.kv.txn(batch_txn).await, answers.len()).into_iter();
        for answer in answers {
            if let Some(outcome) = outcomes.next() {
                let _ = answer.send(outcome);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes transactions in order until a key repeats or the group is full.
fn take_batch(waiting: &mut VecDeque<QueuedTxn>) -> Vec<QueuedTxn> {
    let mut batch = Vec::new();
    let mut keys = HashSet::new();
    let mut total_bytes = 0;
    while let Some(next) = waiting.front() {
        total_bytes += next.size_bytes;
        let fits = total_bytes <= MAX_BATCH_BYTES && batch.len() < MAX_BATCH_TXN_COUNT;
        if !batch.is_empty() && (!fits || keys.contains(&next.key)) {
            break;
        }
        keys.insert(next.key.clone());
        batch.extend(waiting.pop_front());
    }
    batch
}

/// Outcome of each transaction of a group.
fn outcomes(
    batch_outcome: Result<TxnOutcome, KvError>,
    count: usize,
) -> Vec<Result<TxnOutcome, KvError>> {
    match batch_outcome {
        Ok(outcome) if outcome.nested.len() == count => {
            outcome.nested.into_iter().map(Ok).collect()
        }
        Ok(_) => vec![
            Err(KvError::Unknown {
                reason: "answer to a group lacks outcomes".to_owned(),
            });
            count
        ],
        Err(error) => vec![Err(error); count],
    }
}

fn size_bytes(txn: &Txn) -> usize {
    let puts = txn.success.iter().map(|op| match op {
        Op::Put(_, value, _) => value.len(),
        _ => 0,
    });
    puts.sum()
}
