//! Which instances a merged feed covers.

use serde::{Deserialize, Serialize};

/// Which instances a merged feed covers, or a change was learned from. Each covers those before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Scope {
    /// The instance itself.
    Own,
    /// The instances of its failure domain, which it reads itself.
    Domain,
    /// All instances. It reads those of other failure domains through their aggregators.
    All,
}
