//! The simulated network: which nodes reach which others.

use std::time::Duration;

/// A process, or the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Node {
    /// The key-value service.
    Service,
    /// An instance, by its index.
    Instance(usize),
    /// A target, by its index.
    Target(usize),
    /// A store of parts, by its index.
    Store(usize),
}

#[derive(Clone, Copy, Debug)]
struct Cut {
    from: Node,
    to: Node,
    until: Duration,
}

/// Directions in which nothing passes.
#[derive(Debug, Default)]
pub struct Links {
    cuts: Vec<Cut>,
}

impl Links {
    /// Cuts one direction until `until`.
    pub fn cut(&mut self, from: Node, to: Node, until: Duration) {
        self.cuts.push(Cut { from, to, until });
    }

    /// Cuts both directions until `until`.
    pub fn cut_both(&mut self, one: Node, other: Node, until: Duration) {
        self.cut(one, other, until);
        self.cut(other, one, until);
    }

    /// Ends the cuts whose time has passed.
    pub fn heal(&mut self, now: Duration) {
        self.cuts.retain(|cut| now < cut.until);
    }

    /// Whether what `from` sends reaches `to`.
    pub fn passes(&self, from: Node, to: Node) -> bool {
        !self.cuts.iter().any(|it| it.from == from && it.to == to)
    }

    /// Whether a request and its answer pass.
    pub fn connects(&self, one: Node, other: Node) -> bool {
        self.passes(one, other) && self.passes(other, one)
    }
}
