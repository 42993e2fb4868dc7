//! Starts the project's own program as separate processes, with the command and the settings of the
//! deploy file.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// One machine of the system.
pub struct Machine {
    pub front: SocketAddr,
    pub directory: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// A machine's process, ended when dropped.
impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A free port below those that the system gives to outgoing connections.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    for _ in 0..10_000 {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let first = (std::process::id() % 1_000) as u16 * 16;
        let port = 14_000 + (first + step) % 16_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

impl Machine {
    /// Starts a machine that reads the store at `store`. Its settings are those that the platform makes
    /// of `deploy/settings.json`, with the bounds of the small sites.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &PathBuf) -> Self {
        for _ in 0..5 {
            let mut machine = Self::try_start(name, zone, store, folder);
            thread::sleep(Duration::from_millis(150));
            // It has ended if somebody else has taken one of its ports meanwhile.
            if matches!(machine.child.try_wait(), Ok(None)) {
                return machine;
            }
        }
        panic!("{name} does not start");
    }

    fn try_start(name: &str, zone: &str, store: SocketAddr, folder: &PathBuf) -> Self {
        let template = fs::read_to_string("deploy/settings.json").expect("deploy/settings.json");
        let (front, ready, directory) = (free_address(), free_address(), free_address());
        let internal = [free_address(), free_address()];
        let text = |value: &dyn std::fmt::Display| format!("\"{value}\"");
        let settings = template
            .replace("{{nodeName|json}}", &text(&name))
            .replace("{{region|json}}", &text(&"region-1"))
            .replace("{{zone|json}}", &text(&zone))
            .replace("{{listenAddrs.front|json}}", &text(&front))
            .replace("{{listenAddrs.readiness|json}}", &text(&ready))
            .replace("{{listenAddrs.directory|json}}", &text(&directory))
            .replace("{{ip}}:{{internalPorts.0}}", &internal[0].to_string())
            .replace("{{ip}}:{{internalPorts.1}}", &internal[1].to_string())
            .replace("{{ip}}:9464", &free_address().to_string())
            .replace("{{platform.address|json}}", &text(&store))
            .replace("{{limits.memoryMb|json}}", "330")
            .replace("{{limits.maxFds|json}}", "4100")
            .replace("{{bounds.graceS|json}}", "8")
            .replace("{{bounds.ttl_max_s|json}}", "5")
            .replace("{{bounds.leaseMs|json}}", "3000")
            .replace("{{bounds.versionMs|json}}", "8000")
            .replace("{{platform.minTtlMs|json}}", "1000")
            .replace("{{bounds.retryRatio|json}}", "0.2")
            .replace("{{bounds.retryWindowS|json}}", "10")
            .replace("{{bounds.retrySlack|json}}", "56");
        assert!(!settings.contains("{{"), "a field of the template is not known here");
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings file");
        let deploy = fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.expect("the command").trim().trim_matches('"').to_owned();
        let mut words = run.split(' ');
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("the log");
        let child = Command::new(words.next().expect("the program"))
            .args(words)
            .env("RATTANPOST_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn()
            .expect("the program runs");
        Self {
            front,
            directory,
            ready,
            child,
        }
    }

    /// Waits until the machine says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        while Instant::now() < until {
            let answer = http::call(self.ready, request, Duration::from_secs(1));
            if answer.is_ok_and(|it| it.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// SIGTERM, as the platform sends it before planned work.
    pub fn terminate(&self) {
        unsafe {
            kill(self.child.id() as i32, 15);
        }
    }
}
