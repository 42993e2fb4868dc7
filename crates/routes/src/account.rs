//! Client accounts, as far as calls need them.

/// Secret by which a caller proves its client account.
pub type AccountKey = String;

/// A client account.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// Name.
    pub name: String,
    /// Keys that callers may use.
    pub keys: Vec<AccountKey>,
    /// Rank that goes before the rank of the route, if set; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Whether computed state is shared with no other account.
    pub isolated: bool,
}
