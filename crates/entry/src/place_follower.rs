//! Follows which parts one store or engine reports to hold.

use {
    crate::{HeldPart, PartEvents, PartsBySalt, Platform, shared::Shared},
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

/// Longest time that a place may hold a request while it has no changes.
const LONG_POLL_WAIT: Duration = Duration::from_secs(1);
/// Timeout of a request, in addition to that wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay between requests to a store.
const STORE_POLL_DELAY: Duration = Duration::from_millis(60);
/// Delay between requests to an engine.
const ENGINE_POLL_DELAY: Duration = Duration::from_millis(120);

/// Position of a follower in the changes of a place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    /// Incarnation of the place, which changes when it restarts.
    pub(crate) incarnation: u64,
    /// Sequence number of the next change to request.
    next_seq: u64,
    /// Clock of the place at its last answer; `None` if that did not state it.
    clock: Option<Duration>,
}

impl Position {
    /// Whether these changes may be the answer to a request for those from here on. If not, they answer an
    /// earlier one.
    fn may_precede(&self, events: &PartEvents) -> bool {
        let has_moved = if events.changes.is_empty() {
            events.next_seq >= self.next_seq
        } else {
            events.next_seq > self.next_seq
        };
        let clocks = self.clock.zip(events.clock);
        let is_later = clocks.is_none_or(|(before, after)| before < after);
        events.incarnation == self.incarnation && has_moved && is_later
    }
}

/// A successful answer of a place.
struct PlaceAnswer {
    body: Bytes,
    /// Whether its connection carried no other request, so that it is the answer to this one.
    is_first: bool,
}

/// Follows one place, that is, a store or an engine.
pub(crate) struct PlaceFollower<Kv, Format> {
    pub(crate) shared: Arc<Shared<Kv, Format>>,
    client: Client,
    pub(crate) place: SocketAddr,
    is_store: bool,
    pub(crate) position: Option<Position>,
    /// Parts that the store holds, with the salts and ids that a free request needs. Empty for an
    /// engine.
    pub(crate) held: PartsBySalt,
}

impl<Kv, Format> PlaceFollower<Kv, Format>
where
    Format: Platform,
{
    /// Creates a follower of the place at address `place`, which is a store if `is_store` and
    /// otherwise an engine.
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
        // The availability recorded earlier may be outdated, so the first outcome is always
        // published.
        let mut available = None;
        loop {
            let requested_at = boot_time();
            let outcome = self.poll().await;
            let is_available = outcome.is_ok();
            if !is_available {
                // Its answer may still come, where the next one is due.
                self.client.close_idle(self.place);
            }
            if self.is_store && Some(is_available) != available {
                available = Some(is_available);
                self.shared.feed.publish(Change::Available {
                    place,
                    available: is_available,
                });
                let reason = outcome.as_ref().err().map(ToString::to_string);
                let reason = reason.unwrap_or_else(|| format!("{place} answers"));
                self.shared.report_dependency("store", is_available, reason);
            }
            if is_available && self.is_store {
                self.confirm_report(requested_at);
                self.withdraw_obsolete();
                self.free_withdrawn().await;
            }
            sleep(if is_available {
                self.poll_delay()
            } else {
                RETRY_DELAY
            })
            .await;
        }
    }

    /// Delay between requests, so that changes arrive in batches.
    fn poll_delay(&self) -> Duration {
        if self.is_store {
            STORE_POLL_DELAY
        } else {
            ENGINE_POLL_DELAY
        }
    }

    /// Reads the next changes of the place and applies them. Starts over if the place has restarted,
    /// or if some changes are no longer available.
    async fn poll(&mut self) -> Result<(), SendError> {
        let events = self.next_events().await?;
        if let Some(clock) = events.clock {
            let mut cache_index = self.shared.relay_state.cache_index();
            cache_index.set_clock(clock, boot_time());
        }
        let restarted = self
            .position
            .is_some_and(|it| it.incarnation != events.incarnation);
        if restarted {
            self.clear();
            self.position = None;
            return Ok(());
        }
        if events.has_gap && self.is_store {
            return self.resync().await;
        }
        if events.has_gap {
            // A listing would stall the engine; the parts it holds show up again in later changes.
            self.clear();
        }
        self.apply_events(&events);
        self.position = Some(Position {
            incarnation: events.incarnation,
            next_seq: events.next_seq,
            clock: events.clock,
        });
        Ok(())
    }

    /// Requests the next changes. These requests have no id, so an answer that cannot follow from them is
    /// turned away with its connection, and the place is asked on a connection of its own.
    async fn next_events(&self) -> Result<PartEvents, SendError> {
        let (events, is_first) = self.request_events(Reuse::Allowed).await?;
        let position = self.position;
        if is_first || position.is_some_and(|it| it.may_precede(&events)) {
            return Ok(events);
        }
        log::info!("{} answered an earlier request again", self.place);
        self.client.close_idle(self.place);
        let (events, _) = self.request_events(Reuse::Fresh).await?;
        Ok(events)
    }

    /// Requests the next changes once. Returns them, and whether they are known to answer this request.
    async fn request_events(&self, reuse: Reuse) -> Result<(PartEvents, bool), SendError> {
        let since = self.position.map_or(0, |position| position.next_seq);
        let call = self.shared.format.events_request(since, LONG_POLL_WAIT);
        let answer = self.request(call, LONG_POLL_WAIT, reuse).await?;
        let parsed = self.shared.format.parse_events(&answer.body);
        let events = parsed.ok_or_else(|| self.unreadable_answer())?;
        Ok((events, answer.is_first))
    }

    fn apply_events(&mut self, events: &PartEvents) {
        if events.changes.is_empty() {
            return;
        }
        self.record_parts(events.changes.iter().map(|change| &change.part));
        let added_count = events.changes.iter().filter(|it| it.added).count();
        if self.is_store {
            self.log_parts(added_count, events.changes.len() - added_count, false);
        }
    }

    /// Replaces what is recorded of the store by its complete list.
    async fn resync(&mut self) -> Result<(), SendError> {
        let call = self.shared.format.list_request();
        let Some(list) = self
            .shared
            .format
            .parse_list(&self.fetch(call, LONG_POLL_WAIT).await?)
        else {
            return Err(self.unreadable_answer());
        };
        self.clear();
        self.record_parts(list.parts.iter());
        self.log_parts(list.parts.len(), 0, true);
        self.position = Some(Position {
            incarnation: list.incarnation,
            next_seq: list.next_seq,
            clock: None,
        });
        Ok(())
    }

    /// Records what the place now holds of these parts, and publishes it in the feed, except for
    /// withdrawn parts.
    fn record_parts<'part, Parts>(&mut self, parts: Parts)
    where
        Parts: Iterator<Item = &'part HeldPart>,
    {
        let mut reported = Vec::new();
        for part in parts {
            if self.is_store {
                let is_withdrawn = self.held.is_withdrawn(part);
                self.held.set(part);
                if is_withdrawn {
                    continue;
                }
            }
            reported.push(cached_part(part, part.tokens));
        }
        self.publish_held(reported);
    }

    pub(crate) fn publish_held(&self, parts: Vec<CachedPart>) {
        if parts.is_empty() {
            return;
        }
        let place = self.place;
        self.shared.feed.publish(Change::Held { place, parts });
    }

    fn clear(&mut self) {
        self.held.clear();
        let place = self.place;
        self.shared.feed.publish(Change::Cleared { place });
    }

    /// Sends a request on a connection that carries no other one, and returns the body of the answer.
    pub(crate) async fn fetch(
        &self,
        call: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Bytes, SendError> {
        let answer = self.request(call, wait, Reuse::Fresh).await?;
        Ok(answer.body)
    }

    /// Sends a request, which the place may hold for up to `wait`. With [`Reuse::Fresh`], its connection
    /// carries no other one, also later.
    async fn request(
        &self,
        call: Request<Full<Bytes>>,
        wait: Duration,
        reuse: Reuse,
    ) -> Result<PlaceAnswer, SendError> {
        let limit = wait + ANSWER_TIMEOUT;
        // The target may restart under its id meanwhile.
        let target = self.shared.known().target_at(self.place).cloned();
        let mut reply = self.client.send(self.place, call, reuse, limit).await?;
        if reuse == Reuse::Fresh {
            reply.forbid_reuse();
        }
        if let Some(target) = target {
            self.shared.record_report(&target, &reply);
        }
        if !reply.status().is_success() {
            return Err(reply.into_error(ANSWER_TIMEOUT, None).await);
        }
        Ok(PlaceAnswer {
            is_first: reply.earlier_requests_count() == 0,
            body: reply.delimited_body(ANSWER_TIMEOUT).await?,
        })
    }

    fn unreadable_answer(&self) -> SendError {
        SendError::Failed {
            address: self.place,
            status: 200,
            reason: "unreadable answer".to_owned(),
        }
    }

    pub(crate) fn log_parts(&self, added_count: usize, removed_count: usize, listed: bool) {
        self.shared.log.emit(&Event::Parts {
            place: self.place.to_string(),
            added_count,
            removed_count,
            listed,
        });
    }
}

/// What is reported of a part of which `tokens` tokens are held.
pub(crate) fn cached_part(part: &HeldPart, tokens: u32) -> CachedPart {
    CachedPart {
        part: part_key(&part.salt, &part.id),
        tokens,
    }
}
