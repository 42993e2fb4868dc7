//! Runs an entry daemon as a child process.

use std::{
    io::{self, BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        atomic::{AtomicU8, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

/// Longest wait until a daemon reports that it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Port for callers. All daemons use the same ports, each on its own loopback address.
const CALLER_PORT: u16 = 8_080;
/// Port for peers.
const PEER_PORT: u16 = 8_081;
/// Environment variable that, if set, makes the daemons log to standard error.
const LOG_VARIABLE: &str = "ENTRY_LOG";

/// A running daemon. Dropping it kills the process.
pub struct EntryProcess {
    pub name: String,
    pub failure_domain: String,
    pub address: SocketAddr,
    pub peer_address: SocketAddr,
    child: Child,
}

impl EntryProcess {
    /// Starts a daemon on its own loopback address and waits until it listens. `flags` are pairs of
    /// a flag without leading dashes and its value.
    pub fn start(
        binary: &Path,
        name: &str,
        failure_domain: &str,
        flags: &[(&str, String)],
    ) -> io::Result<Self> {
        let ip = unused_address();
        let address = SocketAddr::from((ip, CALLER_PORT));
        let peer_address = SocketAddr::from((ip, PEER_PORT));
        let mut command = Command::new(binary);
        command
            .args(["--instance", name, "--failure-domain", failure_domain])
            .args(["--region", super::test_system::REGION])
            .args(["--listen", &address.to_string()])
            .args(["--peer-listen", &peer_address.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        if std::env::var_os(LOG_VARIABLE).is_none() {
            command.stderr(Stdio::null());
        }
        for (flag, value) in flags {
            command.arg(format!("--{flag}")).arg(value);
        }
        let mut entry = Self {
            name: name.to_owned(),
            failure_domain: failure_domain.to_owned(),
            address,
            peer_address,
            child: command.spawn()?,
        };
        entry.wait_until_listening()?;
        Ok(entry)
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, for example `TERM`, `KILL`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args(["-s", signal, &self.id().to_string()])
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "kill -s {signal}"
        );
    }

    /// Waits for the process to exit; returns `None` if it has not exited within `timeout`.
    pub async fn exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    fn wait_until_listening(&mut self) -> io::Result<()> {
        let output = self.child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (line_sender, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                // Fails once the first line has been received and the receiver dropped.
                let _ = line_sender.send(line);
            }
        });
        lines
            .recv_timeout(START_TIMEOUT)
            .map(drop)
            .map_err(|error| io::Error::other(format!("{} does not listen: {error}", self.name)))
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // Both calls fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address that no other running test process uses, which allows fixed ports.
fn unused_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high, low, NEXT.fetch_add(1, Ordering::Relaxed))
}
