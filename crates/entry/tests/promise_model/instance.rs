//! An instance: how it follows the service, registers, stops and starts again. What it makes of what it
//! hears is the product's [`KnownState`] and [`ServiceContact`].

use {
    crate::{
        links::{Links, Node},
        parts_view::PartsView,
        service::Service,
    },
    balance::AnswerTimeHistogram,
    entry::{Item, ItemName, KnownState, MemberRecord, OwnShutdown},
    feed::ServiceContact,
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// Time from the signal until the process is killed.
pub const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Lifetime of the record of an instance.
const RECORD_TTL: Duration = Duration::from_secs(2);
/// Time between two renewals of the record.
const RENEWAL_PERIOD: Duration = Duration::from_millis(650);
/// Time between two confirmations on a watch without changes.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);
/// Silence after which a watch is given up.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay after the first failed request, and the longest one.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(700));
/// Time in which the others answer whether the service was there.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Time from the exit of a process until it runs again.
const RESTART_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
enum Watch {
    Open { word_at: Duration },
    Closed { retry_at: Duration, delay: Duration },
}

/// A question to the others that is under way.
#[derive(Clone, Copy, Debug)]
struct Question {
    answered_at: Duration,
    silence: Duration,
}

/// One instance.
#[derive(Debug)]
pub struct Instance {
    /// Index of the instance.
    pub index: usize,
    /// What the instance knows.
    pub known: KnownState,
    /// When it had word from the service.
    pub contact: ServiceContact,
    /// What it knows of stored parts.
    pub parts: PartsView,
    /// How long its calls lasted.
    pub answer_times: AnswerTimeHistogram,
    /// When it was told to stop.
    pub stopped_at: Option<Duration>,
    /// Newest configuration that it has had in force.
    pub configuration: u64,
    /// Targets that it knew at the last look, with the number of their start.
    pub known_targets: BTreeSet<(usize, u64)>,
    /// When it was last out of touch with the service, or started.
    pub disturbed_at: Duration,
    /// Until when it may keep targets because no other instance could tell whether the service was away.
    pub unwitnessed_until: Duration,
    down_until: Duration,
    /// When it began to follow the service.
    pub listed_at: Duration,
    is_listed: bool,
    watch: Watch,
    applied_count: usize,
    is_available: bool,
    question: Option<Question>,
    renewed_at: Duration,
}

/// Name of an instance.
pub fn name(index: usize) -> String {
    format!("i{index}")
}

/// Address of the feed of an instance.
pub fn address(index: usize) -> SocketAddr {
    ([127, 0, 1, u8::try_from(index).unwrap()], 1).into()
}

impl Instance {
    /// A process that starts at `now`; `start` tells its starts apart.
    pub fn start(index: usize, start: u64, now: Duration) -> Self {
        Self {
            index,
            known: KnownState::default(),
            contact: ServiceContact::default(),
            parts: PartsView::new(start),
            answer_times: AnswerTimeHistogram::default(),
            stopped_at: None,
            configuration: 0,
            known_targets: BTreeSet::new(),
            disturbed_at: now,
            unwitnessed_until: now,
            down_until: now,
            listed_at: Duration::ZERO,
            is_listed: false,
            watch: Watch::Open { word_at: now },
            applied_count: 0,
            is_available: true,
            question: None,
            renewed_at: Duration::ZERO,
        }
    }

    /// Whether the process runs and knows the state of the service.
    pub fn runs(&self, now: Duration) -> bool {
        now >= self.down_until && self.is_listed
    }

    /// Whether the instance had a path to the service for `contact_time`, and ran.
    pub fn is_in_touch(&self, contact_time: Duration, now: Duration) -> bool {
        self.runs(now) && self.stopped_at.is_none() && now >= self.disturbed_at + contact_time
    }

    /// Tells the instance to stop.
    pub fn stop(&mut self, now: Duration) {
        self.stopped_at = Some(now);
        self.renewed_at = Duration::ZERO;
        let shutdown = OwnShutdown::new(&name(self.index), now, GRACE_PERIOD);
        self.known.begin_shutdown(shutdown);
    }

    /// Has the process exit, and start again soon.
    pub fn exit(&mut self, start: u64, now: Duration) {
        *self = Self::start(self.index, start, now);
        self.down_until = now + RESTART_TIME;
    }

    /// Follows the service and renews the record for one tick.
    pub fn tick(&mut self, service: &mut Service, links: &Links, now: Duration) {
        if now < self.down_until {
            self.disturbed_at = now;
            return;
        }
        let node = Node::Instance(self.index);
        let is_up = service.is_up(now);
        let connects = is_up && links.connects(node, Node::Service);
        if !connects {
            self.disturbed_at = now;
        }
        if !self.is_listed {
            if connects {
                self.list(service, now);
            }
            return;
        }
        if is_up && links.passes(node, Node::Service) && now >= self.renewed_at + RENEWAL_PERIOD {
            self.renewed_at = now;
            let record = Item::Member(self.record());
            service.renew(ItemName::Member(name(self.index)), record, now + RECORD_TTL);
        }
        let hears = is_up && links.passes(Node::Service, node);
        self.watch(service, hears, connects, now);
        self.known.expire(now);
    }

    /// The silence about which the others have to be asked now.
    pub fn take_question(&mut self, now: Duration) -> Option<Duration> {
        let due = self.question.filter(|it| now >= it.answered_at)?;
        self.question = None;
        Some(due.silence)
    }

    fn record(&self) -> MemberRecord {
        MemberRecord {
            address: address(self.index),
            failure_domain: "a".to_owned(),
            ready: self.stopped_at.is_none(),
            feed: Some(address(self.index)),
            peer_calls: Some(address(self.index)),
            link_bits_per_s: None,
            highest_fencing: 0,
            fencing_holder: String::new(),
        }
    }

    fn list(&mut self, service: &Service, now: Duration) {
        let (records, applied_count) = service.list();
        for (name, item) in records {
            put(&mut self.known, name, item, applied_count, now);
        }
        self.applied_count = applied_count;
        self.listed_at = now;
        self.is_listed = true;
        self.watch = Watch::Open { word_at: now };
        self.confirm(now);
    }

    fn watch(&mut self, service: &Service, hears: bool, connects: bool, now: Duration) {
        match self.watch {
            Watch::Open { word_at } if hears => self.read(service, word_at, now),
            Watch::Open { word_at } if now >= word_at + WATCH_TIMEOUT => {
                self.is_available = false;
                let delay = RETRY_DELAYS.0;
                let retry_at = now + delay;
                self.watch = Watch::Closed { retry_at, delay };
            }
            Watch::Closed { retry_at, .. } if now >= retry_at && connects => {
                self.read(service, Duration::ZERO, now);
            }
            Watch::Closed { retry_at, delay } if now >= retry_at => {
                let delay = (delay * 2).min(RETRY_DELAYS.1);
                let retry_at = now + delay;
                self.watch = Watch::Closed { retry_at, delay };
            }
            _ => {}
        }
    }

    fn read(&mut self, service: &Service, word_at: Duration, now: Duration) {
        let changes = service.changes_since(self.applied_count);
        if changes.is_empty() && now < word_at + PROGRESS_PERIOD {
            return;
        }
        self.note_available(now);
        for change in changes {
            self.applied_count += 1;
            match &change.item {
                Some(item) => put(&mut self.known, &change.name, item, self.applied_count, now),
                None => self.known.delete(&change.name, now),
            }
        }
        self.watch = Watch::Open { word_at: now };
        self.confirm(now);
    }

    fn note_available(&mut self, now: Duration) {
        if self.is_available {
            return;
        }
        self.is_available = true;
        if let Some(silence) = self.known.service_recovered(now) {
            let answered_at = now + ANSWER_TIME;
            self.question = Some(Question {
                answered_at,
                silence,
            });
        }
    }

    fn confirm(&mut self, now: Duration) {
        self.contact.record(now);
        self.known.confirm(now);
    }
}

fn put(known: &mut KnownState, name: &ItemName, item: &Item, revision: usize, now: Duration) {
    let id = match name {
        ItemName::Target(id) | ItemName::Member(id) => id.as_str(),
        _ => "",
    };
    known.put(id, item.clone(), u64::try_from(revision).unwrap(), now);
}
