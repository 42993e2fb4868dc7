//! Stores of parts: engines write to them and read from them, and they start again empty.

use {
    parts::{CachedPart, PartKey},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Length of each part in tokens.
pub const PART_TOKENS: u32 = 5_000;

/// A part that an engine will save, or is saving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Write {
    /// The part.
    pub part: PartKey,
    /// Instance that planned it.
    pub instance: usize,
    /// When it was planned.
    pub planned_at: Duration,
    /// When its first byte arrives.
    pub begins_at: Duration,
    /// When it is whole.
    pub ends_at: Duration,
    /// When the instance that planned it last heard that the store held the part.
    pub heard_at: Option<Duration>,
}

/// One store.
#[derive(Debug)]
pub struct Store {
    /// Index of the store.
    pub index: usize,
    /// Number of the present start.
    pub incarnation: u64,
    /// Whole parts, in the order in which they became whole.
    pub whole: Vec<PartKey>,
    /// When it last started again.
    pub restarted_at: Duration,
    down_until: Duration,
    planned: Vec<Write>,
    writing: HashMap<PartKey, Write>,
    /// When the copies of earlier starts became whole.
    whole_before: HashMap<PartKey, Duration>,
    whole_at: HashMap<PartKey, Duration>,
}

/// Address of a store.
pub fn address(index: usize) -> SocketAddr {
    ([127, 0, 3, u8::try_from(index).unwrap()], 1).into()
}

/// Index of the store at an address.
pub fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("stores have addresses of version 4"),
    }
}

/// A whole part as stores report it.
pub fn cached(part: PartKey) -> CachedPart {
    CachedPart {
        part,
        tokens: PART_TOKENS,
    }
}

impl Store {
    /// An empty store.
    pub fn new(index: usize) -> Self {
        Self {
            index,
            incarnation: 1,
            whole: Vec::new(),
            restarted_at: Duration::ZERO,
            down_until: Duration::ZERO,
            planned: Vec::new(),
            writing: HashMap::new(),
            whole_before: HashMap::new(),
            whole_at: HashMap::new(),
        }
    }

    /// Whether it answers.
    pub fn is_up(&self, now: Duration) -> bool {
        now >= self.down_until
    }

    /// Has the store start again, empty.
    pub fn restart(&mut self, down_until: Duration, now: Duration) {
        self.restarted_at = now;
        self.incarnation += 1;
        self.down_until = down_until;
        self.whole.clear();
        self.whole_before.extend(self.whole_at.drain());
        self.writing.clear();
    }

    /// Has an engine save a part.
    pub fn plan(&mut self, write: Write) {
        self.planned.push(write);
    }

    /// Begins and ends writes for one tick.
    pub fn tick(&mut self, now: Duration) {
        let begun: Vec<Write> = self
            .planned
            .extract_if(.., |it| now >= it.begins_at)
            .collect();
        let is_up = self.is_up(now);
        for write in begun.into_iter().filter(|_| is_up) {
            if !self.whole.contains(&write.part) {
                self.writing.entry(write.part).or_insert(write);
            }
        }
        let mut ended: Vec<Write> = self.writing.values().copied().collect();
        ended.retain(|write| now >= write.ends_at);
        ended.sort_by_key(|write| (write.ends_at, write.part));
        for write in ended {
            self.writing.remove(&write.part);
            self.whole.push(write.part);
            self.whole_at.insert(write.part, now);
        }
    }

    /// When the last copy of a part from before the present start became whole.
    pub fn whole_before(&self, part: PartKey) -> Option<Duration> {
        self.whole_before.get(&part).copied()
    }

    /// The write under way that an engine meets which reads a part now.
    pub fn unfinished(&self, part: PartKey) -> Option<Write> {
        self.writing.get(&part).copied()
    }
}
