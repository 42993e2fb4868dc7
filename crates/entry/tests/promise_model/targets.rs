//! Targets: they register, leave, crash, and start again under the same name and address.

use {
    crate::service::Service,
    entry::{Item, ItemName, TargetRegistration},
    std::{net::SocketAddr, time::Duration},
};

/// Lifetime of a registration.
const REGISTRATION_TTL: Duration = Duration::from_millis(3_700);
/// Time between two renewals of a registration.
const RENEWAL_PERIOD: Duration = Duration::from_secs(1);
/// Delay after a renewal that failed.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time for which a target goes on serving once its registration is removed.
const SERVING_TIME: Duration = Duration::from_millis(2_800);
/// Time from the exit of a target until it runs again.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Pool of all targets.
pub const POOL: &str = "engines";

#[derive(Clone, Copy, Debug)]
enum State {
    Serving,
    /// It leaves; its registration is removed as soon as the service answers.
    Leaving {
        removed_at: Option<Duration>,
    },
    Down {
        until: Duration,
    },
}

/// One target.
#[derive(Debug)]
pub struct Target {
    /// Index of the target.
    pub index: usize,
    /// Number of the present start.
    pub start: u64,
    /// When it was registered at the present start.
    pub registered_at: Option<Duration>,
    /// Whether the service was undisturbed when the registration was removed.
    pub was_removal_calm: bool,
    state: State,
    renew_at: Duration,
}

/// Name of a target.
pub fn name(index: usize) -> String {
    format!("t{index}")
}

/// Index of the target with an id.
pub fn index(id: &str) -> usize {
    id.trim_start_matches('t').parse().unwrap()
}

/// Address of a target.
pub fn address(index: usize) -> SocketAddr {
    ([127, 0, 2, u8::try_from(index).unwrap()], 1).into()
}

impl Target {
    /// A target that starts.
    pub fn new(index: usize) -> Self {
        Self {
            index,
            start: 1,
            registered_at: None,
            was_removal_calm: false,
            state: State::Serving,
            renew_at: Duration::ZERO,
        }
    }

    /// Whether it accepts connections.
    pub fn is_up(&self) -> bool {
        !matches!(self.state, State::Down { .. })
    }

    /// Whether it neither leaves nor is down.
    pub fn is_serving(&self) -> bool {
        matches!(self.state, State::Serving)
    }

    /// When its registration was removed because it leaves.
    pub fn removed_at(&self) -> Option<Duration> {
        match self.state {
            State::Leaving { removed_at } => removed_at,
            _ => None,
        }
    }

    /// Has the target leave.
    pub fn leave(&mut self) {
        if self.is_serving() {
            self.state = State::Leaving { removed_at: None };
        }
    }

    /// Has the target crash.
    pub fn crash(&mut self, now: Duration) {
        if self.is_up() {
            self.go_down(now);
        }
    }

    /// Renews the registration or goes on leaving for one tick. `is_calm`: the service has been
    /// undisturbed for a while.
    pub fn tick(&mut self, service: &mut Service, is_calm: bool, now: Duration) {
        let is_up = service.is_up(now);
        match self.state {
            State::Serving if now >= self.renew_at => {
                self.renew_at = now + if is_up { RENEWAL_PERIOD } else { RETRY_DELAY };
                if is_up {
                    let mut record = TargetRegistration::new(POOL, address(self.index));
                    record.started_unix_ms = self.start;
                    let name = ItemName::Target(name(self.index));
                    service.renew(name, Item::Target(record), now + REGISTRATION_TTL);
                    self.registered_at = self.registered_at.or(Some(now));
                }
            }
            State::Leaving { removed_at: None } if is_up => {
                service.delete(&ItemName::Target(name(self.index)));
                self.was_removal_calm = is_calm;
                self.state = State::Leaving {
                    removed_at: Some(now),
                };
            }
            State::Leaving {
                removed_at: Some(at),
            } if now >= at + SERVING_TIME => self.go_down(now),
            State::Down { until } if now >= until => {
                self.state = State::Serving;
                self.start += 1;
            }
            _ => {}
        }
    }

    fn go_down(&mut self, now: Duration) {
        self.registered_at = None;
        self.renew_at = Duration::ZERO;
        self.state = State::Down {
            until: now + RESTART_TIME,
        };
    }
}
