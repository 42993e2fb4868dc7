//! Translation between the platform's formats and the types of this crate.

use {
    crate::{AddressQuery, Item, ItemError, ItemName},
    bytes::Bytes,
    catalog::ModelId,
    http_body_util::Full,
    hyper::Request,
    relay::{HeaderFormat, LoadedModel},
    std::{net::SocketAddr, time::Duration},
};

/// A target's report on its state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetReport {
    /// Models that the target has loaded, with their versions.
    pub models: Vec<LoadedModel>,
    /// Whether the target is executing an order.
    pub busy: bool,
    /// Number of orders that the target has accepted since its start.
    pub accepted_orders_count: u64,
    /// Number of running requests.
    pub running_count: u32,
    /// Number of queued requests.
    pub waiting_count: u32,
}

impl TargetReport {
    /// Whether no request is running or queued at the target.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running_count == 0 && self.waiting_count == 0
    }
}

/// What happens to the running requests while weights are replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunningRequests {
    /// They finish first; the target takes no new requests until then.
    Finish,
    /// They continue on the new weights.
    Continue,
}

/// An order that tells a target to replace the weights of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionOrder {
    /// Target that the order is for; any other refuses it.
    pub target: String,
    /// Model whose weights are replaced.
    pub model: String,
    /// Version of the weights to load.
    pub version: u64,
    /// What happens to the running requests.
    pub running_requests: RunningRequests,
    /// Instance that sends the order.
    pub holder: String,
    /// Fencing token of the order lock; a target refuses an order with a lower token than it has
    /// seen.
    pub fencing: u64,
    /// Number of orders that the target must have accepted before; otherwise it refuses this one.
    pub accepted_orders_count: u64,
}

/// Meaning of a target's response to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The target is executing the order.
    Accepted,
    /// The target already has what the order asks for.
    Holds,
    /// The target accepted another order in between, or is executing one.
    Conflict,
    /// The target has seen a higher fencing token.
    StaleFencing,
    /// The address now belongs to another target.
    OtherTarget,
    /// The target does not know such an order or version.
    Unknown,
}

/// A part of a prompt whose KV cache a place (a store or an engine) holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldPart {
    /// Cache salt under which the part was computed.
    pub salt: String,
    /// Id of the part.
    pub id: String,
    /// Number of its tokens that are held; 0 if it was removed.
    pub tokens: u32,
    /// Model that computed the part.
    pub model: ModelId,
}

/// A change to the parts that a place holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartChange {
    /// Whether the part was added; otherwise it was removed.
    pub added: bool,
    /// The part, with the tokens held after the change.
    pub part: HeldPart,
}

/// Changes to the parts that a place holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartEvents {
    /// Incarnation of the place; it starts empty after each restart.
    pub incarnation: u64,
    /// Sequence number of the next change to request.
    pub next_seq: u64,
    /// Whether some of the requested changes are no longer available.
    pub has_gap: bool,
    /// Time of the clock that all engines and stores share, at the time of the response.
    pub clock: Option<Duration>,
    /// The changes in order.
    pub changes: Vec<PartChange>,
}

/// All parts that a store holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartList {
    /// Incarnation of the store.
    pub incarnation: u64,
    /// Sequence number of the first change after this list.
    pub next_seq: u64,
    /// The complete parts.
    pub parts: Vec<HeldPart>,
}

/// Translates between the platform's formats and the types of this crate. Implementations are pure
/// functions: they never panic and keep no state, read no clock and decide nothing.
pub trait Platform: HeaderFormat {
    /// Returns the common prefix of all keys that an instance watches, including those that
    /// instances write.
    fn watched_prefix(&self) -> &'static str;

    /// Parses one of the platform's own keys; `None` if instances do not use it.
    fn parse_key(&self, key: &str) -> Option<ItemName>;

    /// Decodes the value of one of the platform's own keys.
    ///
    /// # Errors
    /// Returns [`ItemError`] if the value cannot be decoded.
    fn parse_item(&self, name: &ItemName, key: &str, value: &[u8]) -> Result<Item, ItemError>;

    /// Whether `path` is that of the readiness probe.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Whether `path` is that of the address query.
    fn is_addresses_path(&self, path: &str) -> bool;

    /// Parses the query of an address query.
    fn parse_address_query(&self, query: &str) -> AddressQuery;

    /// Encodes the response to an address query: the addresses to use and for how long they may be
    /// cached.
    fn addresses_body(&self, addresses: &[SocketAddr], max_age: Duration) -> Bytes;

    /// Builds the request for a target's report.
    fn report_request(&self) -> Request<Full<Bytes>>;

    /// Parses a target's report; `None` if it is malformed.
    fn parse_report(&self, body: &[u8]) -> Option<TargetReport>;

    /// Builds the request to a place for the changes from sequence number `since` on. The place
    /// waits up to `wait` for some.
    fn events_request(&self, since: u64, wait: Duration) -> Request<Full<Bytes>>;

    /// Parses a place's changes; `None` if they are malformed.
    fn parse_events(&self, body: &[u8]) -> Option<PartEvents>;

    /// Builds the request to a store for all parts that it holds.
    fn list_request(&self) -> Request<Full<Bytes>>;

    /// Parses the list of a store's parts; `None` if it is malformed.
    fn parse_list(&self, body: &[u8]) -> Option<PartList>;

    /// Builds the request to a store to free `parts`, provided that its incarnation is still
    /// `incarnation`.
    fn free_request(&self, parts: &[HeldPart], incarnation: u64) -> Request<Full<Bytes>>;

    /// Builds the request that sends an order to a target.
    fn order_request(&self, order: &VersionOrder) -> Request<Full<Bytes>>;

    /// Interprets the HTTP status of the response to an order.
    fn order_outcome(&self, status: u16) -> OrderOutcome;
}
