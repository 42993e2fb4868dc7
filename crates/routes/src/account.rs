//! Client accounts and their keys.

use crate::Homes;

/// Secret that authenticates a caller as a client account.
pub type AccountKey = String;

/// A client account.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// Name, unique in its configuration.
    pub name: String,
    /// Keys that authenticate callers as this account.
    pub keys: Vec<AccountKey>,
    /// Priority that overrides the route's priority, if set; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Whether cached prompt parts of this account are kept apart from those of other accounts.
    pub isolated: bool,
    /// Regions that the account's calls may reach.
    pub homes: Homes,
}
