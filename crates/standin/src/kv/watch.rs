//! Watches: one answer that goes on, one JSON object a line.

use {
    super::{
        Kv,
        state::Event,
        wire::{Number, Refused, Watch, WatchCreate, decode},
    },
    crate::http::{self, Answer, Cut, torn},
    bytes::Bytes,
    futures::{Stream, stream},
    hyper::{Response, StatusCode},
    serde_json::{Value, json},
    std::{collections::VecDeque, io, sync::Arc},
    tokio::{
        sync::watch,
        time::{Interval, MissedTickBehavior, interval},
    },
};

/// One open watch.
struct Watcher {
    kv: Arc<Kv>,
    create: WatchCreate,
    /// Next revision to deliver.
    next_revision: u64,
    epoch: u64,
    changed: watch::Receiver<(u64, u64)>,
    progress: Interval,
    ready: VecDeque<Value>,
    ended: bool,
}

impl Kv {
    pub(super) fn answer_watch(self: Arc<Self>, body: Value) -> Answer {
        let watch: Watch = match decode(body) {
            Ok(watch) => watch,
            Err(refused) => return refuse(&refused),
        };
        let watcher = Watcher::open(&self, watch.create_request);
        if self.lose_answer() {
            return Err(Cut);
        }
        Ok(Response::new(http::streamed(watcher.lines())))
    }
}

fn refuse(refused: &Refused) -> Answer {
    http::json(StatusCode::BAD_REQUEST, refused)
}

impl Watcher {
    fn open(kv: &Arc<Kv>, create: WatchCreate) -> Self {
        let mut state = kv.state();
        state.stats.watch_count += 1;
        state.stats.open_watch_count += 1;
        let start = create.start_revision.0;
        let mut progress = interval(kv.settings.progress_interval);
        progress.set_missed_tick_behavior(MissedTickBehavior::Delay);
        progress.reset();
        Self {
            kv: Arc::clone(kv),
            next_revision: if start == 0 {
                state.revision + 1
            } else {
                start
            },
            epoch: state.watch_epoch,
            changed: state.changed.subscribe(),
            progress,
            ready: VecDeque::from([json!({"header": state.header(), "created": true})]),
            ended: false,
            create,
        }
    }

    fn lines(self) -> impl Stream<Item = io::Result<Bytes>> + Send {
        stream::unfold(self, |mut watcher| async move {
            let result = watcher.next().await?;
            let line = result.map(|result| Bytes::from(format!("{}\n", json!({"result": result}))));
            Some((line, watcher))
        })
    }

    async fn next(&mut self) -> Option<io::Result<Value>> {
        loop {
            if let Some(result) = self.ready.pop_front() {
                return Some(Ok(result));
            }
            if self.ended {
                return None;
            }
            if self.changed.borrow_and_update().1 != self.epoch {
                self.ended = true;
                return Some(Err(torn().await));
            }
            self.collect();
            if self.ready.is_empty() {
                self.wait().await;
            }
        }
    }

    /// Puts the changes since the last call into `ready`.
    fn collect(&mut self) {
        let kv = Arc::clone(&self.kv);
        let state = kv.state();
        let header = json!(state.header());
        if self.next_revision < state.oldest_revision {
            self.ended = true;
            let oldest = Number(state.oldest_revision);
            self.ready.push_back(json!({
                "header": header,
                "canceled": true,
                "compact_revision": oldest,
            }));
            return;
        }
        let events: Vec<Event> = state.events_since(self.next_revision, &self.create.span);
        self.next_revision = self.next_revision.max(state.revision + 1);
        if !events.is_empty() {
            self.ready
                .push_back(json!({"header": header, "events": events}));
        }
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.changed.changed() => {}
            _ = self.progress.tick() => {
                if self.create.progress_notify {
                    let current = self.changed.borrow().0;
                    let revision = Number(current.min(self.next_revision - 1));
                    self.ready.push_back(json!({"header": {"revision": revision}}));
                }
            }
        }
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.kv.state().stats.open_watch_count -= 1;
    }
}
