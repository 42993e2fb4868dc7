//! The log never blocks, says what it dropped, and prefers failures.

use {
    eventlog::{CallLine, Event, EventLog},
    std::{
        io::{Result, Write},
        sync::{Arc, Mutex, mpsc::Receiver},
        time::Duration,
    },
};

/// Blocks the writer until the test lets it go, then keeps what is written.
struct Held {
    go: Receiver<()>,
    kept: Arc<Mutex<Vec<u8>>>,
}

impl Write for Held {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        let _ = self.go.recv();
        self.kept.lock().unwrap().extend_from_slice(bytes);
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
fn flush_waits_for_every_line_and_not_for_ever() {
    let (release, go) = std::sync::mpsc::channel();
    let kept = Arc::new(Mutex::new(Vec::new()));
    let log = EventLog::start(Held {
        go,
        kept: kept.clone(),
    });
    log.emit(&call("cut"));
    assert!(!log.flush(Duration::from_millis(50)), "nothing is written");
    drop(release);
    assert!(log.flush(Duration::from_secs(20)));
    assert!(!kept.lock().unwrap().is_empty());
}

#[test]
fn full_queue_drops_answered_calls_first_and_says_how_many() {
    let (release, go) = std::sync::mpsc::channel();
    let kept = Arc::new(Mutex::new(Vec::new()));
    let log = EventLog::start(Held {
        go,
        kept: kept.clone(),
    });
    for _ in 0..3_000 {
        log.emit(&call("answered"));
    }
    for _ in 0..500 {
        log.emit(&call("failed"));
    }
    drop(release);
    let lines = loop {
        let text = String::from_utf8(kept.lock().unwrap().clone()).unwrap();
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
