//! `tarpc` logs several messages for each call between instances. At level info these must not fill
//! the log; only its warnings and errors are written.

use {
    eventlog::EventLog,
    log::LevelFilter,
    std::{
        io::{Result, Write},
        sync::{Arc, Mutex},
        thread::sleep,
        time::Duration,
    },
};

#[derive(Clone, Default)]
struct Sink {
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

impl Sink {
    fn text(&self) -> String {
        String::from_utf8(self.written.lock().unwrap().clone()).unwrap()
    }
}

#[test]
fn only_warnings_of_tarpc_are_written() {
    let sink = Sink::default();
    let log = EventLog::start(sink.clone());
    log.install_logger(LevelFilter::Info).unwrap();
    log::info!(target: "tarpc::client", "each call");
    log::warn!(target: "tarpc::server", "trouble");
    log::info!(target: "relay::run", "the last");
    for _ in 0..500 {
        if sink.text().contains("the last") {
            break;
        }
        sleep(Duration::from_millis(10));
    }
    let text = sink.text();
    assert!(
        text.contains("trouble") && text.contains("the last"),
        "{text}"
    );
    assert!(!text.contains("each call"), "{text}");
}
