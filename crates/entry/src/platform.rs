//! What the instance needs to have translated.

use {
    crate::{Item, ItemError, ItemName},
    bytes::Bytes,
    catalog::ModelId,
    http_body_util::Full,
    hyper::Request,
    relay::{HeaderFormat, LoadedModel},
    std::{net::SocketAddr, time::Duration},
};

/// What a target reports when it is asked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetReport {
    /// Weights that it has.
    pub models: Vec<LoadedModel>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub accepted_orders_count: u64,
    /// Requests that run.
    pub running_count: u32,
    /// Requests that wait.
    pub waiting_count: u32,
}

impl TargetReport {
    /// Whether nothing runs or waits there.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running_count == 0 && self.waiting_count == 0
    }
}

/// What becomes of the requests that run while weights are replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunningRequests {
    /// They finish first; the target takes nothing new until then.
    Finish,
    /// They go on with the new weights.
    Continue,
}

/// An order to replace the weights of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionOrder {
    /// Target that is meant; any other refuses.
    pub target: String,
    /// Model.
    pub model: String,
    /// Version of the new weights.
    pub version: u64,
    /// What becomes of the requests that run.
    pub running_requests: RunningRequests,
    /// Instance that gives the order.
    pub holder: String,
    /// Fencing number.
    pub fencing: u64,
    /// Orders that the target must have accepted before, or it refuses.
    pub accepted_orders_count: u64,
}

/// What a target's answer to an order means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order came between, or is being carried out.
    Conflict,
    /// The target has seen a higher fencing number.
    StaleFencing,
    /// Another target has the address.
    OtherTarget,
    /// The target knows no such order or version.
    Unknown,
}

/// A part of a prompt that a store holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldPart {
    /// Salt that it was made under.
    pub salt: String,
    /// Id.
    pub id: String,
    /// Tokens of it that are there.
    pub tokens: u32,
    /// Model that made it.
    pub model: ModelId,
}

/// A change of what a store holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartChange {
    /// Whether the part was added; otherwise it was removed.
    pub added: bool,
    /// The part.
    pub part: HeldPart,
}

/// Changes of what a store holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartEvents {
    /// Number of this start of the store; it holds nothing of an earlier one.
    pub incarnation: u64,
    /// Number to ask for next.
    pub next_seq: u64,
    /// Whether changes are missing.
    pub has_gap: bool,
    /// Time of the clock that all engines and stores share, when it answered.
    pub clock: Option<Duration>,
    /// The changes, in order.
    pub changes: Vec<PartChange>,
}

/// All that a store holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartList {
    /// Number of this start of the store.
    pub incarnation: u64,
    /// Number of the first change after this list.
    pub next_seq: u64,
    /// The parts that are whole.
    pub parts: Vec<HeldPart>,
}

/// Translates between the platform's formats and the product's types. Total functions without
/// state, clock or decision.
pub trait Platform: HeaderFormat {
    /// Beginning of all keys that concern an instance, those that instances write among them.
    fn watched_prefix(&self) -> &'static str;

    /// What one of the platform's own keys names; none if it does not concern the instance.
    fn parse_key(&self, key: &str) -> Option<ItemName>;

    /// Reads the value of one of the platform's own keys.
    ///
    /// # Errors
    /// [`ItemError`] if it can't be read.
    fn parse_item(&self, name: &ItemName, key: &str, value: &[u8]) -> Result<Item, ItemError>;

    /// Whether a path asks whether this instance takes calls.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Whether a path asks which addresses to use.
    fn is_addresses_path(&self, path: &str) -> bool;

    /// The answer to callers that ask which addresses to use, and for how long.
    fn addresses_body(&self, addresses: &[SocketAddr], max_age: Duration) -> Bytes;

    /// Asks a target for its report.
    fn report_request(&self) -> Request<Full<Bytes>>;

    /// Reads a target's report; none if it can't be read.
    fn parse_report(&self, body: &[u8]) -> Option<TargetReport>;

    /// Asks a store for the changes since number `since`; it waits up to `wait` for some.
    fn events_request(&self, since: u64, wait: Duration) -> Request<Full<Bytes>>;

    /// Reads a store's changes; none if they can't be read.
    fn parse_events(&self, body: &[u8]) -> Option<PartEvents>;

    /// Asks a store for all that it holds.
    fn list_request(&self) -> Request<Full<Bytes>>;

    /// Reads all that a store holds; none if it can't be read.
    fn parse_list(&self, body: &[u8]) -> Option<PartList>;

    /// Has a store free parts, if it is still the start `incarnation`.
    fn free_request(&self, parts: &[HeldPart], incarnation: u64) -> Request<Full<Bytes>>;

    /// Gives an order.
    fn order_request(&self, order: &VersionOrder) -> Request<Full<Bytes>>;

    /// Reads the answer to an order.
    fn order_outcome(&self, status: u16) -> OrderOutcome;
}
