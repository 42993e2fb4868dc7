//! Simulation of instances that compete for one target while the key-value service fails.

mod simulation;
mod target_hold;

pub use {
    simulation::{RunReport, Simulation},
    target_hold::{ClocklessHold, NoWaitHold, RealHold, TargetHold},
};
