//! Watches: each is one streaming response with one JSON object per line.

use {
    super::{
        Kv,
        state::Event,
        wire::{DecimalU64, RpcError, WatchCreateRequest, WatchRequest, decode},
    },
    crate::http::{self, Answer, Cut, broken_connection},
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
    create: WatchCreateRequest,
    /// First revision that has not been delivered.
    next_revision: u64,
    /// Watch epoch at the time of opening; a later one means that the watch was cut.
    epoch: u64,
    changed: watch::Receiver<(u64, u64)>,
    progress_timer: Interval,
    /// Results that wait to be sent.
    queued_results: VecDeque<Value>,
    ended: bool,
}

impl Kv {
    pub(super) fn answer_watch(self: Arc<Self>, body: Value) -> Answer {
        let watch: WatchRequest = match decode(body) {
            Ok(watch) => watch,
            Err(refused) => return bad_request(&refused),
        };
        let watcher = Watcher::open(&self, watch.create_request);
        if self.take_answer_loss() {
            return Err(Cut);
        }
        Ok(Response::new(http::streamed(watcher.lines())))
    }
}

fn bad_request(refused: &RpcError) -> Answer {
    http::json(StatusCode::BAD_REQUEST, refused)
}

impl Watcher {
    fn open(kv: &Arc<Kv>, create: WatchCreateRequest) -> Self {
        let mut state = kv.state();
        state.stats.watch_count += 1;
        state.stats.open_watch_count += 1;
        let start = create.start_revision.0;
        let mut progress_timer = interval(kv.settings.progress_interval);
        progress_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        progress_timer.reset();
        Self {
            kv: Arc::clone(kv),
            next_revision: if start == 0 {
                state.revision + 1
            } else {
                start
            },
            epoch: state.watch_epoch,
            changed: state.changed.subscribe(),
            progress_timer,
            queued_results: VecDeque::from([json!({"header": state.header(), "created": true})]),
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
            if let Some(result) = self.queued_results.pop_front() {
                return Some(Ok(result));
            }
            if self.ended {
                return None;
            }
            if self.changed.borrow_and_update().1 != self.epoch {
                self.ended = true;
                return Some(Err(broken_connection().await));
            }
            self.queue_changes();
            if self.queued_results.is_empty() {
                self.wait().await;
            }
        }
    }

    /// Queues the changes since the last call, or the cancellation if they have been compacted.
    fn queue_changes(&mut self) {
        let kv = Arc::clone(&self.kv);
        let state = kv.state();
        let header = json!(state.header());
        if self.next_revision < state.oldest_revision {
            self.ended = true;
            let oldest = DecimalU64(state.oldest_revision);
            self.queued_results.push_back(json!({
                "header": header,
                "canceled": true,
                "compact_revision": oldest,
            }));
            return;
        }
        let events: Vec<Event> = state.events_since(self.next_revision, &self.create.span);
        self.next_revision = self.next_revision.max(state.revision + 1);
        if !events.is_empty() {
            self.queued_results
                .push_back(json!({"header": header, "events": events}));
        }
    }

    /// Waits for the next change, or queues a progress notification when the interval elapses.
    async fn wait(&mut self) {
        tokio::select! {
            _ = self.changed.changed() => {}
            _ = self.progress_timer.tick() => {
                if self.create.progress_notify {
                    let current = self.changed.borrow().0;
                    let revision = DecimalU64(current.min(self.next_revision - 1));
                    self.queued_results.push_back(json!({"header": {"revision": revision}}));
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
