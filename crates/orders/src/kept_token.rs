//! The highest fencing token of each target, which the key-value service keeps without a lease.

use {
    bytes::Bytes,
    catalog::{Revision, TargetId},
    fencing::{FencingRecord, FencingToken, is_valid, next_token, time_of_day},
    keyvalue::{Compare, Incarnation, KvPair},
};

/// Key prefix of the highest tokens.
const FENCING_PREFIX: &str = "/rattan/fencing/";

/// What this instance knows of the highest token of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct KeptToken {
    /// Highest token that is known.
    highest: FencingToken,
    /// Revision of the record at the service; `None` if there is none.
    revision: Option<Revision>,
}

impl KeptToken {
    /// Takes over the record as the service has it, or that it has none. A token that is known stays known,
    /// since the service may have lost it. A record that can't be read names none.
    pub(crate) fn set_record(&mut self, pair: Option<&KvPair>) {
        self.revision = pair.map(|pair| pair.mod_revision);
        let record = pair.and_then(|pair| serde_json::from_slice(&pair.value).ok());
        self.note(record.map_or(0, |record: FencingRecord| record.highest));
    }

    /// Takes over a record that this instance has written.
    pub(crate) fn set_written(&mut self, token: FencingToken, revision: Revision) {
        self.revision = Some(revision);
        self.note(token);
    }

    /// Notes a token that has been given to a holder.
    pub(crate) fn note(&mut self, token: FencingToken) {
        if is_valid(token) {
            self.highest = self.highest.max(token);
        }
    }

    /// Returns the token of the next holder.
    pub(crate) fn next_token(&self) -> FencingToken {
        // Without an incarnation, tokens of earlier builds are below the time of day.
        next_token(self.highest, &Incarnation::default(), time_of_day())
    }

    /// Condition that the record of `target` is unchanged.
    pub(crate) fn unchanged(&self, target: &TargetId) -> Compare {
        Compare::unchanged(fencing_key(target), self.revision)
    }
}

/// Key under which the highest token of `target` is stored.
pub(crate) fn fencing_key(target: &TargetId) -> String {
    format!("{FENCING_PREFIX}{target}")
}

/// Encodes the record of the highest token as the value to write.
pub(crate) fn encode_token(highest: FencingToken) -> Bytes {
    serde_json::to_vec(&FencingRecord {
        highest,
        ..FencingRecord::default()
    })
    .unwrap_or_default()
    .into()
}
