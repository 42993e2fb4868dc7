//! A full queue neither blocks the caller nor loses lines silently: dropped lines are counted, and
//! lines of answered calls are dropped before lines of failures.

use {
    eventlog::{CallLine, Event, EventLog},
    std::{
        io::{Result, Write},
        sync::{Arc, Mutex, mpsc::Receiver},
        time::Duration,
    },
};

/// Blocks the writer until the test drops the sender of `release`, then stores what is written.
struct BlockedSink {
    release: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedSink {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        let _ = self.release.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

fn call(outcome: &'static str) -> Event {
    Event::Call(CallLine {
        request_id: "9c41".to_owned(),
        outcome,
        ..CallLine::default()
    })
}

#[test]
fn flush_waits_for_every_line_up_to_its_timeout() {
    let (blocker, release) = std::sync::mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let log = EventLog::start(BlockedSink {
        release,
        written: written.clone(),
    });
    log.emit(&call("cut"));
    assert!(!log.flush(Duration::from_millis(50)), "nothing is written");
    drop(blocker);
    assert!(log.flush(Duration::from_secs(20)));
    assert!(!written.lock().unwrap().is_empty());
}

#[test]
fn full_queue_drops_answered_calls_first_and_counts_them() {
    let (blocker, release) = std::sync::mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let log = EventLog::start(BlockedSink {
        release,
        written: written.clone(),
    });
    for _ in 0..3_000 {
        log.emit(&call("answered"));
    }
    for _ in 0..500 {
        log.emit(&call("failed"));
    }
    drop(blocker);
    let lines = loop {
        let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
        if text.contains("\"dropped\"") && text.matches("\"failed\"").count() == 500 {
            break text;
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    let answered = lines.matches("\"answered\"").count();
    assert!(answered < 3_000, "the bound holds");
    let dropped: usize = lines
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter(|line| line["event"] == "dropped")
        .filter_map(|line| usize::try_from(line["count"].as_u64()?).ok())
        .sum();
    assert_eq!(answered + dropped, 3_000, "every dropped line is counted");
}
