//! What an instance knows of the fencing tokens that were given to holders of the order lock.

use {
    catalog::{InstanceId, Revision},
    fencing::{FencingRecord, FencingToken, is_valid},
};

/// What is known of the fencing tokens that were given to holders of the order lock.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KnownFencing {
    /// Highest token known from any source; it never falls.
    pub highest: FencingToken,
    /// Instance that it was given to; empty if that is not known.
    pub holder: InstanceId,
    /// Revision of the record that the service keeps of it; `None` if it keeps none.
    pub revision: Option<Revision>,
}

impl KnownFencing {
    /// Records what the service keeps.
    pub(crate) fn put(&mut self, record: &FencingRecord, revision: Revision) {
        self.note(record.highest, &record.holder);
        self.revision = Some(revision);
    }

    /// Records that the service keeps nothing any more. What was known stays known.
    pub(crate) fn delete(&mut self) {
        self.revision = None;
    }

    /// Records that `holder` has, or had, this fencing token; `holder` is empty if it is not known. A service
    /// that forgot a token may give it to another instance, and then the next higher one counts as known, so
    /// that neither of them uses it.
    pub(crate) fn note(&mut self, token: FencingToken, holder: &str) {
        if !is_valid(token) || token < self.highest {
            return;
        }
        if token > self.highest || self.holder.is_empty() {
            self.highest = token;
            holder.clone_into(&mut self.holder);
        } else if !holder.is_empty() && self.holder != holder {
            self.highest = token + 1;
            self.holder.clear();
        }
    }
}
