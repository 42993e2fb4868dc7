//! Follows what one store or engine holds, by its own word.

use {
    crate::{
        HeldPart, PartEvents, Platform, freeing::is_unread, parts_by_salt::PartsBySalt,
        shared::Shared,
    },
    bytes::Bytes,
    eventlog::Event,
    http_body_util::Full,
    hyper::Request,
    parts::{CachedPart, Change, part_key},
    relay::boot_time,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    target::{Client, Reuse, SendError},
    tokio::time::sleep,
};

/// How long a place holds a question for changes.
const WAIT: Duration = Duration::from_secs(1);
/// Longest time for an answer besides.
const ANSWER_TIME: Duration = Duration::from_millis(700);
/// Pause after a failed question.
const PAUSE: Duration = Duration::from_millis(300);
/// Parts that are freed at once.
const MAX_FREED_COUNT: usize = 500;
/// Pause between questions to a store.
const STORE_BATCH_PAUSE: Duration = Duration::from_millis(60);
/// Pause between questions to an engine.
const ENGINE_BATCH_PAUSE: Duration = Duration::from_millis(120);

/// Where in a place's changes a follower is.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// Number of the place's start.
    start: u64,
    /// Number to ask for next.
    next: u64,
}

/// Follows one place.
pub(crate) struct PlaceFollower<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
    place: SocketAddr,
    is_store: bool,
    position: Option<Position>,
    /// What a store holds, with the names that freeing needs.
    held: PartsBySalt,
}

impl<Kv, Format> PlaceFollower<Kv, Format>
where
    Format: Platform,
{
    /// Follows the store, or else the engine, at `place`.
    pub(crate) fn new(
        shared: Arc<Shared<Kv, Format>>,
        client: Client,
        place: SocketAddr,
        is_store: bool,
    ) -> Self {
        Self {
            shared,
            client,
            place,
            is_store,
            position: None,
            held: PartsBySalt::default(),
        }
    }

    /// Follows the place until dropped.
    pub(crate) async fn run(mut self) {
        let place = self.place;
        // What was said of the place before may be over: the first outcome is told in any case.
        let mut available = None;
        loop {
            let outcome = self.ask().await;
            let answers = outcome.is_ok();
            if self.is_store && Some(answers) != available {
                available = Some(answers);
                self.shared.feed.publish(Change::Available {
                    place,
                    available: answers,
                });
                let reason = outcome.as_ref().err().map(ToString::to_string);
                let reason = reason.unwrap_or_else(|| format!("{place} answers"));
                self.shared.dependency("store", answers, reason);
            }
            if answers && self.is_store {
                self.free().await;
            }
            sleep(if answers { self.batch_pause() } else { PAUSE }).await;
        }
    }

    /// Pause between questions, so that changes come in batches.
    fn batch_pause(&self) -> Duration {
        if self.is_store {
            STORE_BATCH_PAUSE
        } else {
            ENGINE_BATCH_PAUSE
        }
    }

    async fn ask(&mut self) -> Result<(), SendError> {
        let since = self.position.map_or(0, |position| position.next);
        let call = self.shared.format.events_request(since, WAIT);
        let Some(events) = self
            .shared
            .format
            .parse_events(&self.body(call, WAIT).await?)
        else {
            return Err(self.unreadable());
        };
        let restarted = self
            .position
            .is_some_and(|it| it.start != events.incarnation);
        if restarted {
            self.clear();
            self.position = None;
            return Ok(());
        }
        if events.has_gap && self.is_store {
            return self.list().await;
        }
        if events.has_gap {
            // A list would stall the engine; what it holds shows again with later changes.
            self.clear();
        }
        self.take(&events);
        self.position = Some(Position {
            start: events.incarnation,
            next: events.next_seq,
        });
        Ok(())
    }

    fn take(&mut self, events: &PartEvents) {
        if let Some(clock) = events.clock {
            self.shared
                .followed
                .cache_index()
                .set_clock(clock, boot_time());
        }
        if events.changes.is_empty() {
            return;
        }
        self.learn(events.changes.iter().map(|change| &change.part));
        let added_count = events.changes.iter().filter(|it| it.added).count();
        if self.is_store {
            self.say(added_count, events.changes.len() - added_count, false);
        }
    }

    async fn list(&mut self) -> Result<(), SendError> {
        let call = self.shared.format.list_request();
        let Some(list) = self.shared.format.parse_list(&self.body(call, WAIT).await?) else {
            return Err(self.unreadable());
        };
        self.clear();
        self.learn(list.parts.iter());
        self.say(list.parts.len(), 0, true);
        self.position = Some(Position {
            start: list.incarnation,
            next: list.next_seq,
        });
        Ok(())
    }

    /// Takes in what the place holds of these parts now.
    fn learn<'part, Parts>(&mut self, parts: Parts)
    where
        Parts: Iterator<Item = &'part HeldPart>,
    {
        let mut learned = Vec::new();
        for part in parts {
            learned.push(CachedPart {
                part: part_key(&part.salt, &part.id),
                tokens: part.tokens,
            });
            if self.is_store {
                self.held.set(part);
            }
        }
        self.shared.feed.publish(Change::Held {
            place: self.place,
            parts: learned,
        });
    }

    /// Has the store free what nobody reads any more, if this instance follows it for all.
    async fn free(&mut self) {
        let own = &self.shared.settings.instance;
        let is_owner = self.shared.ownership.load().owner(self.place) == Some(own);
        let Some(position) = self.position.filter(|_| is_owner) else {
            return;
        };
        let unread = self.unread();
        if unread.is_empty() {
            return;
        }
        let call = self.shared.format.free_request(&unread, position.start);
        if let Err(error) = self.body(call, Duration::ZERO).await {
            log::info!("nothing freed yet: {error}");
            return;
        }
        let freed = unread
            .into_iter()
            .map(|part| HeldPart { tokens: 0, ..part });
        let freed: Vec<HeldPart> = freed.collect();
        self.learn(freed.iter());
        self.say(0, freed.len(), false);
    }

    /// Parts that nobody reads any more, as many as are freed at once.
    fn unread(&self) -> Vec<HeldPart> {
        let known = self.shared.known();
        let now = boot_time();
        let unread = self.held.of(|model, salt| {
            let wanted = known.wanted().get(model);
            wanted.is_some_and(|wanted| is_unread(salt, wanted, now))
        });
        unread.take(MAX_FREED_COUNT).collect()
    }

    fn clear(&mut self) {
        self.held.clear();
        let place = self.place;
        self.shared.feed.publish(Change::Cleared { place });
    }

    async fn body(&self, call: Request<Full<Bytes>>, wait: Duration) -> Result<Bytes, SendError> {
        let limit = wait + ANSWER_TIME;
        let mut reply = self
            .client
            .send(self.place, call, Reuse::Allowed, limit)
            .await?;
        if !reply.status().is_success() {
            return Err(reply.into_error(ANSWER_TIME).await);
        }
        reply.body(ANSWER_TIME).await
    }

    fn unreadable(&self) -> SendError {
        SendError::Failed {
            address: self.place,
            status: 200,
            reason: "unreadable answer".to_owned(),
        }
    }

    fn say(&self, added_count: usize, removed_count: usize, listed: bool) {
        self.shared.log.emit(&Event::Parts {
            place: self.place.to_string(),
            added_count,
            removed_count,
            listed,
        });
    }
}
