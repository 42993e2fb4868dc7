//! The model engine: simulates continuous batching by waiting, with a limited prefix cache.
//!
//! Prompts are computed in pieces, one piece at a time, by priority. Up to
//! [`EngineSettings::max_running_count`] runs are active at once, and each one in the answer phase
//! produces a token every [`EngineSettings::token_time`]. A cached block is found only under the
//! cache salt, version and key it was computed for.

mod api;
mod audit;
mod cache;
mod completion;
mod events;
mod faults;
mod load;
mod orders;
mod run;
mod scheduler;
mod settings;
mod state;
mod stream;
mod transfer;

pub use {
    audit::{Audit, AuditedRun},
    cache::{CacheKey, PrefixCache},
    completion::Completion,
    events::{CacheEvent, EventKind, EventLog},
    faults::EngineFaults,
    load::EngineLoad,
    settings::EngineSettings,
};

use {
    crate::{
        Link,
        faults::FaultSwitches,
        http::Answer,
        server::{Role, Server},
        sync::lock,
    },
    hyper::{Request, body::Incoming},
    state::State,
    std::{
        io,
        sync::{Arc, Mutex, MutexGuard},
    },
    tokio::sync::{Notify, watch},
};

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    switches: FaultSwitches<EngineFaults>,
    state: Mutex<State>,
    link: Link,
    /// Wakes the scheduler.
    work: Notify,
    /// Sequence number of the newest cache event; wakes long polls for events.
    recorded: watch::Sender<u64>,
    /// The first of two answers to be swapped, while it waits for the second.
    waiting_stream: Mutex<Option<stream::WaitingStream>>,
}

impl Engine {
    /// Starts an idle engine with an empty prefix cache.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<Server<Self>> {
        let listen = settings.listen;
        let engine = Arc::new(Self {
            switches: FaultSwitches::default(),
            state: Mutex::new(State::new(&settings)),
            link: Link::new(settings.link_bytes_per_s, settings.time_scale),
            work: Notify::new(),
            recorded: watch::Sender::new(0),
            waiting_stream: Mutex::default(),
            settings,
        });
        engine.switches.update(|faults| {
            faults.events_delay_ms = engine.settings.events_delay_ms;
        });
        Server::start(listen, engine).await
    }

    /// A record of what the engine did, for tests to check.
    #[must_use]
    pub fn audit(&self) -> Audit {
        self.state().audit.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl Role for Engine {
    type Faults = EngineFaults;

    fn switches(&self) -> &FaultSwitches<EngineFaults> {
        &self.switches
    }

    fn faults_changed(&self) {
        let evict = self
            .switches
            .update(|faults| std::mem::take(&mut faults.evict));
        if evict {
            self.evict_all();
        }
    }

    async fn background(self: Arc<Self>) {
        tokio::join!(self.schedule(), self.sample_load());
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        api::answer(self, request).await
    }
}
