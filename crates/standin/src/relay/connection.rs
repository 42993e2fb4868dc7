//! One connection through the relay, in both directions.

use {
    super::{
        Relay, RelayMode,
        relay_faults::{Direction, RelayFaults},
    },
    crate::sync::lock,
    std::{
        future::pending,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::tcp::{ReadHalf, WriteHalf},
        time::{sleep, sleep_until},
    },
};

/// Most bytes forwarded at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// One connection through the relay, with its caller and its target.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) relay: Arc<Relay>,
    pub(super) opened_epoch: u64,
    /// Number of the last fault that ended connections before it was opened.
    pub(super) opened_after: u64,
    pub(super) silent: AtomicBool,
    /// Whether a side took no more data. The system may report that to the write alone, and a regular end to
    /// the read after it.
    pub(super) broken: AtomicBool,
    /// When data of the target was forwarded last.
    pub(super) answered_at: Mutex<Instant>,
    /// When a fault ends it; `None` before there is one.
    pub(super) ends_at: Mutex<Option<Instant>>,
}

/// A side of a connection has broken it off, which the other side is to see as well.
#[derive(Debug)]
pub(super) struct WasReset;

impl Connection {
    /// Forwards data in one direction until it ends. Never returns once the connection is silenced.
    pub(super) async fn forward(
        &self,
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
        direction: Direction,
    ) -> Result<(), WasReset> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read,
                () = self.wait_until_silent() => return pending().await,
            };
            let passes = |faults: &RelayFaults| !faults.mode.holds(direction);
            self.relay.switches.wait_for(passes).await;
            let length = match read {
                Ok(0) if !self.is_broken() => {
                    let _ = to.shutdown().await;
                    return Ok(());
                }
                Ok(0) | Err(_) => return Err(WasReset),
                Ok(length) => length,
            };
            let delay_ms = self.relay.switches.get().delay_ms;
            if delay_ms > 0 {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            if self.update_silent() {
                return pending().await;
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                // What the broken side sent before is still read in the other direction.
                self.broken.store(true, Ordering::Relaxed);
                return Ok(());
            }
            if direction == Direction::ToCaller {
                *lock(&self.answered_at) = Instant::now();
            }
            self.relay
                .passed_bytes
                .fetch_add(length as u64, Ordering::Relaxed);
        }
    }

    pub(super) fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Relaxed)
    }

    /// Whether the connection is silenced. Once silenced, it stays so when the mode changes.
    fn update_silent(&self) -> bool {
        let silent = match self.relay.mode() {
            RelayMode::BlackholeAll => true,
            RelayMode::Blackhole => self.opened_epoch < *self.relay.epoch.borrow(),
            _ => false,
        };
        if silent {
            self.silent.store(true, Ordering::Relaxed);
        }
        self.silent.load(Ordering::Relaxed)
    }

    async fn wait_until_silent(&self) {
        let mut epoch = self.relay.epoch.subscribe();
        while !self.update_silent() {
            if epoch.changed().await.is_err() {
                pending::<()>().await;
            }
        }
    }

    pub(super) async fn wait_until_ended(&self) {
        let mut last_end = self.relay.last_end.subscribe();
        loop {
            let ends_at = *lock(&self.ends_at);
            let end = async {
                match ends_at {
                    Some(at) => sleep_until(at.into()).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                () = end => return,
                // The sender lives as long as the relay.
                _ = last_end.changed() => {}
                () = self.relay.switches.wait_for(|faults| faults.mode.ends_connections()), if ends_at.is_none() => {
                    if lock(&self.ends_at).is_none() {
                        return;
                    }
                }
            }
        }
    }
}
