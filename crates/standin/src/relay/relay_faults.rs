//! What a relay does with connections, and the switches that set it.

use serde::{Deserialize, Serialize};

/// What the relay does with connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Forwards data both ways.
    #[default]
    Pass,
    /// Closes all open and all new connections.
    Cut,
    /// Connections that are open when the switch is set forward no more data; new ones work.
    Blackhole,
    /// Open and new connections stay open but forward no data.
    BlackholeAll,
    /// Connections stay open. Data, and the end of connections, waits until the mode changes.
    Hold,
    /// Like [`RelayMode::Hold`], for what callers send only.
    HoldCalls,
    /// Like [`RelayMode::Hold`], for what the target sends only.
    HoldAnswers,
    /// Resets all open and all new connections.
    Reset,
    /// Closes all open connections and listens no more. The port stays taken.
    Refuse,
}

impl RelayMode {
    /// Whether open connections end.
    pub(super) fn ends_connections(self) -> bool {
        matches!(self, Self::Cut | Self::Reset | Self::Refuse)
    }

    /// Whether data in this direction waits.
    pub(super) fn holds(self, direction: Direction) -> bool {
        match self {
            Self::Hold => true,
            Self::HoldCalls => direction == Direction::ToTarget,
            Self::HoldAnswers => direction == Direction::ToCaller,
            _ => false,
        }
    }
}

/// Direction of data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Direction {
    ToTarget,
    ToCaller,
}

/// Fault switches of a relay.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RelayFaults {
    /// What the relay does with connections.
    pub mode: RelayMode,
    /// Delay of every chunk of data in milliseconds.
    pub delay_ms: u64,
    /// Delay before each accept in milliseconds; connections wait for it one after another, as completed by
    /// the operating system and not yet led on.
    pub accept_delay_ms: u64,
    /// Whether the relay opens its own side only at the first byte of the caller.
    pub opens_lazily: bool,
    /// Whether a fault that ends connections also ends those that wait and are not yet led on.
    pub ends_waiting: bool,
    /// Time in milliseconds over which [`RelayMode::Cut`] closes the connections that are open, one after
    /// another; the one whose target has sent data last is the first.
    pub end_spread_ms: u64,
}
