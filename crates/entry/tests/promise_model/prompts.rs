//! Prompts: instances learn what stores hold, and plan which parts engines read and save.

use {
    crate::{
        instance,
        links::Node,
        statements::Broken,
        stores::{self, PART_TOKENS, Write},
        targets,
        world::World,
    },
    parts::PromptPart,
    std::time::Duration,
};

/// Number of ticks between two plans of an instance.
const PLAN_TICKS: u64 = 4;
/// Number of ticks between two looks at who follows which store.
const ASSIGN_TICKS: u64 = 4;
/// Number of different parts.
const PARTS_COUNT: u64 = 4;

/// A read of a part that an engine will do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Read {
    instance: usize,
    planned_at: Duration,
    at: Duration,
    store: usize,
    part: u64,
}

impl World {
    /// Follows the stores, reads the feeds, and plans and reads parts for one tick.
    pub fn tick_parts(&mut self) {
        let now = self.now;
        let stores: Vec<_> = (0..self.stores.len()).map(stores::address).collect();
        for index in 0..self.instances.len() {
            if !self.instances[index].runs(now) {
                continue;
            }
            let own = instance::name(index);
            let node = Node::Instance(index);
            let feeds = self.instances[index].known.feed_addresses();
            let names: Vec<String> = feeds.into_keys().collect();
            if self.ticks_count.is_multiple_of(ASSIGN_TICKS) {
                let view = &mut self.instances[index].parts;
                view.assign(&stores, &names, &own, now);
            }
            for store in &self.stores {
                let answers =
                    store.is_up(now) && self.links.connects(node, Node::Store(store.index));
                self.instances[index].parts.follow(store, answers, now);
            }
            let reachable = self.peers_of(index);
            for name in names.iter().filter(|name| **name != own) {
                let peer = name.trim_start_matches('i').parse().unwrap();
                let since = self.instances[index].parts.position(name);
                let batch = reachable.contains(&peer);
                let batch = batch.then(|| self.instances[peer].parts.feed(since));
                self.instances[index].parts.read(name, batch, now);
            }
            if (self.ticks_count + index as u64).is_multiple_of(PLAN_TICKS) {
                self.plan_parts(index);
            }
        }
        self.read_parts();
    }

    /// Plans what a prompt with one part fetches and saves.
    fn plan_parts(&mut self, index: usize) {
        let (part, engine) = (self.random(PARTS_COUNT), self.random(2));
        let (fetch_ms, compute_ms) = (self.random(1_900), 100 + self.random(300));
        let write_ms = 100 + self.random(600);
        let (now, part) = (
            self.now,
            PromptPart::new("1", &part.to_string(), PART_TOKENS),
        );
        let engine = (targets::address(usize::try_from(engine).unwrap()), "a");
        let view = &mut self.instances[index].parts;
        let plan = view.directory.plan(&[part], engine, now, true);
        if let Some(place) = plan.fetch[0] {
            self.reads.push(Read {
                instance: index,
                planned_at: now,
                at: now + Duration::from_millis(fetch_ms),
                store: stores::index(place),
                part: part.part,
            });
        }
        if let Some(place) = plan.save[0] {
            let begins_at = now + Duration::from_millis(compute_ms);
            self.stores[stores::index(place)].plan(Write {
                instance: index,
                planned_at: now,
                part: part.part,
                begins_at,
                ends_at: begins_at + Duration::from_millis(write_ms),
                heard_at: view.heard_at(place, part.part),
            });
        }
    }

    fn read_parts(&mut self) {
        let now = self.now;
        for read in self.reads.extract_if(.., |read| now >= read.at) {
            self.counts.reads += 1;
            let store = &self.stores[read.store];
            let Some(write) = store.unfinished(read.part) else {
                continue;
            };
            let before = store.whole_before(read.part);
            let was_known = write.heard_at.is_some_and(|at| Some(at) >= before);
            if was_known {
                let restarted_at = store.restarted_at;
                self.broken.push(Broken::ReadPartialPart {
                    read,
                    write,
                    restarted_at,
                });
            } else {
                self.counts.unheard_reads += 1;
            }
        }
    }
}
