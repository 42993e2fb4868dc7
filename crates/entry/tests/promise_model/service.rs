//! The simulated key-value service: records with leases, and the changes that watches deliver.

use {
    entry::{Item, ItemName},
    std::time::Duration,
};

#[derive(Debug)]
struct Record {
    name: ItemName,
    item: Item,
    /// When the lease of the record ends; `None` if it has none.
    expires_at: Option<Duration>,
}

/// A change that watches deliver; its revision is its place in the list, from 1 on.
#[derive(Clone, Debug)]
pub struct Change {
    /// What has changed.
    pub name: ItemName,
    /// The new value; `None` if it was deleted.
    pub item: Option<Item>,
}

/// The key-value service.
#[derive(Debug, Default)]
pub struct Service {
    records: Vec<Record>,
    changes: Vec<Change>,
    away_until: Duration,
}

impl Service {
    /// Has the service give no answer until `until`.
    pub fn go_away(&mut self, until: Duration) {
        self.away_until = self.away_until.max(until);
    }

    /// Whether the service answers.
    pub fn is_up(&self, now: Duration) -> bool {
        now >= self.away_until
    }

    /// Writes a record, with a lease that ends at `expires_at`.
    pub fn put(&mut self, name: ItemName, item: Item, expires_at: Option<Duration>) {
        self.records.retain(|record| record.name != name);
        let change = Change {
            name: name.clone(),
            item: Some(item.clone()),
        };
        self.changes.push(change);
        self.records.push(Record {
            name,
            item,
            expires_at,
        });
    }

    /// Renews the lease of a record, or writes it again if the value differs or the record is gone.
    pub fn renew(&mut self, name: ItemName, item: Item, expires_at: Duration) {
        let same = self.records.iter_mut();
        let mut same = same.filter(|record| record.name == name && record.item == item);
        if let Some(record) = same.next() {
            record.expires_at = Some(expires_at);
            return;
        }
        self.put(name, item, Some(expires_at));
    }

    /// Deletes a record.
    pub fn delete(&mut self, name: &ItemName) {
        let before_count = self.records.len();
        self.records.retain(|record| record.name != *name);
        if self.records.len() < before_count {
            let name = name.clone();
            self.changes.push(Change { name, item: None });
        }
    }

    /// Deletes the records whose leases have ended. The clock of the leases runs on while the service is
    /// away.
    pub fn expire(&mut self, now: Duration) {
        if !self.is_up(now) {
            return;
        }
        let lapsed = |record: &&Record| record.expires_at.is_some_and(|at| now >= at);
        let lapsed: Vec<ItemName> = self
            .records
            .iter()
            .filter(lapsed)
            .map(|it| it.name.clone())
            .collect();
        for name in &lapsed {
            self.delete(name);
        }
    }

    /// The present records, and the number of changes that led to them.
    pub fn list(&self) -> (impl Iterator<Item = (&ItemName, &Item)>, usize) {
        let records = self.records.iter().map(|it| (&it.name, &it.item));
        (records, self.changes.len())
    }

    /// The changes after the first `applied_count`.
    pub fn changes_since(&self, applied_count: usize) -> &[Change] {
        &self.changes[applied_count..]
    }
}
