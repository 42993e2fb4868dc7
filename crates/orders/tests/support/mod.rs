//! Instances that take turns in holding one target while the key-value service fails.

mod tenancy;
mod world;

pub use {
    tenancy::{ClockBlind, NoWait, Tenancy, Watchful},
    world::{Verdict, World},
};
