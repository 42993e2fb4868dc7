//! Batches the transactions of one instance into fewer calls to the key-value service.

use {
    keyvalue::{KeyValue, KvError, Op, Txn, TxnOutcome},
    std::{
        collections::{HashSet, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::oneshot,
};

/// Number of transactions in one call. The default limit of etcd is 128 operations.
const MAX_BATCH_TXN_COUNT: usize = 64;
/// Size of all values in one call, in bytes. The default limit of etcd is 1.5 MiB.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// Number of calls in flight. Further transactions wait and are batched.
const MAX_IN_FLIGHT_CALL_COUNT: usize = 2;
/// Number of transactions that may wait.
const MAX_QUEUED_COUNT: usize = 4096;

/// A transaction on one key that waits to be sent.
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

/// Why a transaction has no outcome.
#[derive(Debug)]
pub(crate) enum BatchError {
    /// The queue is full, with this many transactions; this one was not sent.
    QueueFull(usize),
    /// The call to the key-value service failed.
    Kv(KvError),
}

/// Batches transactions that arrive while others are in flight. Without load it adds no delay.
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
    /// Creates a batcher for calls to `kv`.
    pub(crate) fn new(kv: Kv) -> Self {
        Self {
            kv,
            queue: Arc::default(),
        }
    }

    /// Runs a transaction that touches only `key`, in one call with others if there are any. The
    /// transaction runs to its end even if the caller stops waiting.
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
            reason: "the batch was dropped without an answer".to_owned(),
        };
        answered
            .await
            .unwrap_or(Err(dropped))
            .map_err(BatchError::Kv)
    }

    /// Queues a transaction. Returns true if one more call may be started.
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

    /// Sends one batch after another until the queue is empty.
    async fn send_queued(self) {
        while let Some(batch) = self.next_batch() {
            self.send(batch).await;
        }
    }

    /// Takes the next batch. If the queue is empty, the calling task's call counts as ended and `None`
    /// is returned.
    fn next_batch(&self) -> Option<Vec<QueuedTxn>> {
        let mut queue = self.lock();
        let batch = take_batch(&mut queue.waiting);
        if batch.is_empty() {
            queue.in_flight_call_count -= 1;
            return None;
        }
        Some(batch)
    }

    /// Sends one batch and passes each transaction its outcome. A single transaction is sent as it is,
    /// several as nested transactions.
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

/// Takes transactions from the queue in order, until a key repeats or the batch is full. The first
/// one is always taken.
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

/// Splits the outcome of a batch into the outcomes of its `count` transactions.
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
                reason: "the answer to a batch lacks outcomes".to_owned(),
            });
            count
        ],
        Err(error) => vec![Err(error); count],
    }
}

/// Returns the size of all values that the transaction writes.
fn size_bytes(txn: &Txn) -> usize {
    let puts = txn.success.iter().map(|op| match op {
        Op::Put(_, value, _) => value.len(),
        _ => 0,
    });
    puts.sum()
}
