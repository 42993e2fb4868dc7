//! The queue before the writer.

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

/// Lines that may wait for the writer.
const MAX_WAITING_COUNT: usize = 2_048;
/// Waiting lines from which on lines of answered calls are dropped, so that failures still fit.
const CALM_WAITING_COUNT: u64 = 1_024;
/// Pause before it is tried again to put something into a full queue.
const FULL_PAUSE: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct Queue {
    sender: SyncSender<Entry>,
    waiting_count: AtomicU64,
    dropped_count: AtomicU64,
}

/// What the writer gets.
#[derive(Debug)]
enum Entry {
    Line(String),
    /// Everything before is to be written, then this is told.
    Flush(SyncSender<()>),
}

/// Writes events as JSON lines. Clones share the queue.
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
    /// Starts the writer thread. It ends with the last clone of the log.
    #[must_use]
    pub fn start<Sink>(sink: Sink) -> Self
    where
        Sink: Write + Send + 'static,
    {
        let (sender, receiver) = sync_channel(MAX_WAITING_COUNT);
        let queue = Arc::new(Queue {
            sender,
            waiting_count: AtomicU64::new(0),
            dropped_count: AtomicU64::new(0),
        });
        let weak = Arc::downgrade(&queue);
        let written = move |count: u64| {
            let queue = weak.upgrade()?;
            queue.waiting_count.fetch_sub(count, Ordering::Relaxed);
            Some(queue.dropped_count.swap(0, Ordering::Relaxed)).filter(|count| *count > 0)
        };
        thread::spawn(move || write_all(&receiver, sink, written));
        Self { queue }
    }

    /// Puts an event into the queue, or counts it as dropped.
    pub fn emit(&self, event: &Event) {
        let waiting = self.queue.waiting_count.load(Ordering::Relaxed);
        let is_calm = matches!(event, Event::Call(call) if call.outcome == "answered");
        if is_calm && waiting >= CALM_WAITING_COUNT {
            self.queue.dropped_count.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let Some(line) = encode(event) else {
            self.queue.dropped_count.fetch_add(1, Ordering::Relaxed);
            return;
        };
        self.queue.waiting_count.fetch_add(1, Ordering::Relaxed);
        if self.queue.sender.try_send(Entry::Line(line)).is_err() {
            self.queue.waiting_count.fetch_sub(1, Ordering::Relaxed);
            self.queue.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits up to `bound` until every line so far is written; returns whether it is. Blocks the
    /// thread: for the end of a process, which would take waiting lines with it.
    #[must_use]
    pub fn flush(&self, bound: Duration) -> bool {
        let until = Instant::now() + bound;
        let (written, all_written) = sync_channel(1);
        let mut entry = Entry::Flush(written);
        loop {
            entry = match self.queue.sender.try_send(entry) {
                Ok(()) => break,
                Err(TrySendError::Disconnected(_)) => return false,
                Err(TrySendError::Full(_)) if Instant::now() >= until => return false,
                Err(TrySendError::Full(entry)) => entry,
            };
            thread::sleep(FULL_PAUSE);
        }
        let left = until.saturating_duration_since(Instant::now());
        all_written.recv_timeout(left).is_ok()
    }

    /// Sends the lines of the `log` macros here too.
    ///
    /// # Errors
    /// If a logger was set before.
    pub fn install_logger(&self, level: LevelFilter) -> Result<(), SetLoggerError> {
        let log = self.clone();
        let output = Output::call(move |record| log.emit(&note(record)));
        log_dispatch(level).chain(output).apply()
    }
}

/// Lines in words of at least `level`, but of calls between instances only what is wrong: each would
/// leave several.
pub fn log_dispatch(level: LevelFilter) -> Dispatch {
    let calls_level = level.min(LevelFilter::Warn);
    Dispatch::new().level(level).level_for("tarpc", calls_level)
}

fn note(record: &Record<'_>) -> Event {
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

/// Writes lines until every sender is gone. An output that fails is given up on: the program serves
/// on without a log.
fn write_all<Sink, Written>(receiver: &Receiver<Entry>, mut sink: Sink, written: Written)
where
    Sink: Write,
    Written: Fn(u64) -> Option<u64>,
{
    while let Ok(first) = receiver.recv() {
        let mut batch = String::new();
        let mut count = 0;
        let mut waiting = Vec::new();
        let rest = iter::from_fn(|| receiver.try_recv().ok());
        for entry in iter::once(first).chain(rest) {
            match entry {
                Entry::Line(line) => {
                    batch.push_str(&line);
                    batch.push('\n');
                    count += 1;
                }
                Entry::Flush(waiter) => waiting.push(waiter),
            }
        }
        if let Some(count) = written(count)
            && let Some(line) = encode(&Event::Dropped { count })
        {
            batch.push_str(&line);
            batch.push('\n');
        }
        if sink.write_all(batch.as_bytes()).is_err() || sink.flush().is_err() {
            return;
        }
        for waiter in waiting {
            // Who waited too long has gone on.
            let _ = waiter.try_send(());
        }
    }
}
