//! The simulated deployment, and the statements that are checked after each step.

use {
    crate::{
        calls::{Booking, Call},
        instance::{self, GRACE_PERIOD, Instance},
        links::{Links, Node},
        prompts::Read,
        service::Service,
        statements::{Broken, Counts},
        stores::Store,
        targets::{self, Target},
    },
    entry::{Item, ItemName},
    routes::RouteConfig,
    std::time::Duration,
};

/// Simulated time between two looks at everything.
pub const TICK: Duration = Duration::from_millis(50);
/// Time for which an instance has to have had a path to the service to be bound by time limits.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time without word from the service after which registrations may have lapsed.
const LAPSE_TIME: Duration = Duration::from_millis(2_300);
/// Time in which all targets register again once the service is back.
const REGISTERING_TIME: Duration = Duration::from_millis(2_500);
/// Time for which targets may be kept then.
const KEEPING_TIME: Duration = Duration::from_millis(2_500);
/// Time for which an instance goes on taking calls once it was told to stop.
const REDIRECT_TIME: Duration = Duration::from_millis(3_500);

/// The simulated deployment.
#[derive(Debug)]
pub struct World {
    pub now: Duration,
    pub links: Links,
    pub service: Service,
    pub instances: Vec<Instance>,
    pub targets: Vec<Target>,
    pub stores: Vec<Store>,
    pub bookings: Vec<Booking>,
    pub calls: Vec<Call>,
    pub broken: Vec<Broken>,
    pub counts: Counts,
    pub reads: Vec<Read>,
    pub configuration: (u64, Duration),
    pub service_disturbed_at: Duration,
    pub service_away_from: Duration,
    /// Whether the service was back only briefly before it went away again.
    pub is_service_flapping: bool,
    starts_count: u64,
    pub ticks_count: u64,
    random: u64,
}

impl World {
    /// A deployment that has run for a while.
    pub fn new(instances: usize, targets: usize, stores: usize, random: u64) -> Self {
        let now = Duration::from_secs(1_000);
        let start = |index| Instance::start(index, u64::try_from(index).unwrap(), now);
        let mut world = Self {
            now,
            links: Links::default(),
            service: Service::default(),
            instances: (0..instances).map(start).collect(),
            targets: (0..targets).map(Target::new).collect(),
            stores: (0..stores).map(Store::new).collect(),
            bookings: Vec::new(),
            calls: Vec::new(),
            broken: Vec::new(),
            counts: Counts::default(),
            reads: Vec::new(),
            configuration: (0, now),
            service_disturbed_at: now,
            service_away_from: now,
            is_service_flapping: false,
            starts_count: 100,
            ticks_count: 0,
            random,
        };
        world.configure();
        world.pass(Duration::from_secs(5));
        world
    }

    /// Lets time pass.
    pub fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    /// Writes a new configuration.
    pub fn configure(&mut self) {
        if !self.service.is_up(self.now) {
            return;
        }
        let version = self.configuration.0 + 1;
        self.configuration = (version, self.now);
        let config = RouteConfig::default().version(version);
        let item = Item::Configuration(Box::new(config));
        self.service.put(ItemName::Configuration, item, None);
    }

    /// A number below `bound`.
    pub fn random(&mut self, bound: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        (mixed ^ (mixed >> 27)) % bound
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.ticks_count += 1;
        let now = self.now;
        self.links.heal(now);
        if !self.service.is_up(now) {
            if self.service_disturbed_at + TICK < now {
                let back_for = now.saturating_sub(self.service_disturbed_at);
                self.is_service_flapping = back_for < REGISTERING_TIME;
                self.service_away_from = now;
            }
            self.service_disturbed_at = now;
        }
        self.service.expire(now);
        let is_calm = now >= self.service_disturbed_at + CONTACT_TIME;
        for target in &mut self.targets {
            target.tick(&mut self.service, is_calm, now);
        }
        for instance in &mut self.instances {
            instance.tick(&mut self.service, &self.links, now);
        }
        self.answer_questions();
        for store in &mut self.stores {
            store.tick(now);
        }
        self.tick_parts();
        self.send_background_calls();
        self.tick_calls();
        self.end_stops();
        self.check_known();
    }

    /// Has the instances that are due ask the others whether the service was there.
    fn answer_questions(&mut self) {
        for asking in 0..self.instances.len() {
            let Some(silence) = self.instances[asking].take_question(self.now) else {
                continue;
            };
            let asked = self.peers_of(asking);
            let has_witness = asked.into_iter().any(|asked| {
                let gap = self.instances[asked].contact.longest_gap(silence, self.now);
                let known = &mut self.instances[asking].known;
                known.note_gap_of_other(gap, self.now)
            });
            if !has_witness && silence >= LAPSE_TIME {
                self.instances[asking].unwitnessed_until = self.now + KEEPING_TIME;
            }
        }
    }

    /// The instances of which `index` knows and that answer it now.
    pub fn peers_of(&self, index: usize) -> Vec<usize> {
        let feeds = self.instances[index].known.feed_addresses();
        let others = (0..self.instances.len()).filter(|other| {
            *other != index
                && feeds.contains_key(&instance::name(*other))
                && self.instances[*other].runs(self.now)
                && self
                    .links
                    .connects(Node::Instance(index), Node::Instance(*other))
        });
        others.collect()
    }

    /// Has each instance send a short call to one of the targets that it knows.
    fn send_background_calls(&mut self) {
        for index in 0..self.instances.len() {
            let instance = &self.instances[index];
            let known: Vec<usize> = instance
                .known
                .targets()
                .map(|it| targets::index(&it.id))
                .collect();
            if !instance.runs(self.now) || instance.stopped_at.is_some() || known.is_empty() {
                continue;
            }
            let turn = usize::try_from(self.ticks_count).unwrap() % known.len();
            let target = known[turn];
            let connects = self
                .links
                .connects(Node::Instance(index), Node::Target(target));
            if connects && self.targets[target].is_up() {
                self.arrive(index, target);
                let took = Duration::from_millis(300);
                self.instances[index].answer_times.record(took, self.now);
            }
        }
    }

    /// Has instances exit that have stopped.
    fn end_stops(&mut self) {
        for index in 0..self.instances.len() {
            let Some(stopped_at) = self.instances[index].stopped_at else {
                continue;
            };
            let has_calls = self.calls.iter().any(|it| it.at == index && it.is_open());
            let has_other = !self.peers_of(index).is_empty();
            let is_done = !has_calls && has_other && self.now >= stopped_at + REDIRECT_TIME;
            if is_done || self.now >= stopped_at + GRACE_PERIOD {
                self.starts_count += 1;
                self.instances[index].exit(self.starts_count, self.now);
            }
        }
    }
}
