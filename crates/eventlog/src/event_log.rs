//! Writes events to the log through a bounded queue and a writer thread.

use {
    crate::Event,
    fern::{Dispatch, Output},
    log::{LevelFilter, Record, SetLoggerError},
    serde::Serialize,
    std::{
        io::Write,
        iter,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Capacity of the queue, in lines.
const MAX_QUEUED_COUNT: usize = 2_048;
/// Number of queued lines from which on answered calls are dropped, so that failures still fit into
/// the queue.
const ANSWERED_MAX_QUEUED_COUNT: u64 = 1_024;
/// Delay before [`EventLog::flush`] tries again to add to a full queue.
const FULL_QUEUE_RETRY_DELAY: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct Queue {
    sender: SyncSender<Entry>,
    queued_count: AtomicU64,
    dropped_count: AtomicU64,
}

/// Item of the queue.
#[derive(Debug)]
enum Entry {
    Line(String),
    /// Request to signal on this channel once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Writes events as JSON lines. Clones share one queue and writer thread.
#[derive(Clone, Debug)]
pub struct EventLog {
    queue: Arc<Queue>,
}

#[derive(Serialize)]
struct Line<'event> {
    time_ms: u64,
    #[serde(flatten)]
    event: &'event Event,
}

impl EventLog {
    /// Starts a thread that writes to `sink`. It ends when the last clone of the log is dropped.
    #[must_use]
    pub fn start<Sink>(sink: Sink) -> Self
    where
        Sink: Write + Send + 'static,
    {
        let (sender, receiver) = sync_channel(MAX_QUEUED_COUNT);
        let queue = Arc::new(Queue {
            sender,
            queued_count: AtomicU64::new(0),
            dropped_count: AtomicU64::new(0),
        });
        let weak = Arc::downgrade(&queue);
        let take_dropped_count = move |taken_count: u64| {
            let queue = weak.upgrade()?;
            queue.queued_count.fetch_sub(taken_count, Ordering::Relaxed);
            Some(queue.dropped_count.swap(0, Ordering::Relaxed)).filter(|count| *count > 0)
        };
        thread::spawn(move || write_all(&receiver, sink, take_dropped_count));
        Self { queue }
    }

    /// Queues an event without blocking. If it doesn't fit, counts it as dropped.
    pub fn emit(&self, event: &Event) {
        let queued_count = self.queue.queued_count.load(Ordering::Relaxed);
        let is_answered_call = matches!(event, Event::Call(call) if call.outcome == "answered");
        if is_answered_call && queued_count >= ANSWERED_MAX_QUEUED_COUNT {
            self.queue.dropped_count.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let Some(line) = encode(event) else {
            self.queue.dropped_count.fetch_add(1, Ordering::Relaxed);
            return;
        };
        self.queue.queued_count.fetch_add(1, Ordering::Relaxed);
        if self.queue.sender.try_send(Entry::Line(line)).is_err() {
            self.queue.queued_count.fetch_sub(1, Ordering::Relaxed);
            self.queue.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all lines queued so far are written, at most for `timeout`. Returns whether they
    /// are. Blocks the thread; meant for the end of a process, where queued lines would be lost.
    #[must_use]
    pub fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let (flushed_sender, flushed_receiver) = sync_channel(1);
        let mut entry = Entry::Flush(flushed_sender);
        loop {
            entry = match self.queue.sender.try_send(entry) {
                Ok(()) => break,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(_)) if Instant::now() >= deadline => return false,
                Err(TrySendError::Full(entry)) => entry,
            };
            thread::sleep(FULL_QUEUE_RETRY_DELAY);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        flushed_receiver.recv_timeout(remaining).is_ok()
    }

    /// Installs this log as the logger of the `log` crate: messages become [`Event::Note`] lines.
    ///
    /// # Errors
    /// Fails if a logger is already installed.
    pub fn install_logger(&self, level: LevelFilter) -> Result<(), SetLoggerError> {
        let log = self.clone();
        let output = Output::call(move |record| log.emit(&note_event(record)));
        log_dispatch(level).chain(output).apply()
    }
}

/// Creates a dispatcher for `log` messages of `level` and above. Of `tarpc`, which logs several
/// messages for each call between instances, it passes only warnings and errors.
pub fn log_dispatch(level: LevelFilter) -> Dispatch {
    let tarpc_level = level.min(LevelFilter::Warn);
    Dispatch::new().level(level).level_for("tarpc", tarpc_level)
}

fn note_event(record: &Record<'_>) -> Event {
    Event::Note {
        level: record.level().as_str().to_ascii_lowercase(),
        part: record.target().to_owned(),
        message: record.args().to_string(),
    }
}

fn encode(event: &Event) -> Option<String> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let time_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    serde_json::to_string(&Line { time_ms, event }).ok()
}

/// Writes queued lines until every sender is dropped. Stops if writing fails; the process then
/// continues without a log.
///
/// For each batch, `take_dropped_count` gets the number of lines taken from the queue and returns the
/// number of lines dropped since its last call, or `None` if none were dropped.
fn write_all<Sink, TakeDropped>(
    receiver: &Receiver<Entry>,
    mut sink: Sink,
    take_dropped_count: TakeDropped,
) where
    Sink: Write,
    TakeDropped: Fn(u64) -> Option<u64>,
{
    while let Ok(first) = receiver.recv() {
        let mut batch = String::new();
        let mut lines_count = 0;
        let mut flush_waiters = Vec::new();
        let rest = iter::from_fn(|| receiver.try_recv().ok());
        for entry in iter::once(first).chain(rest) {
            match entry {
                Entry::Line(line) => {
                    batch.push_str(&line);
                    batch.push('\n');
                    lines_count += 1;
                }
                Entry::Flush(waiter) => flush_waiters.push(waiter),
            }
        }
        if let Some(count) = take_dropped_count(lines_count)
            && let Some(line) = encode(&Event::Dropped { count })
        {
            batch.push_str(&line);
            batch.push('\n');
        }
        if sink.write_all(batch.as_bytes()).is_err() || sink.flush().is_err() {
            return;
        }
        for waiter in flush_waiters {
            // The receiver is gone if its flush timed out.
            let _ = waiter.try_send(());
        }
    }
}
