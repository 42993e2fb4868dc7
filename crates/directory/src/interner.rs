//! Interns names as 16-bit ids, so that an entry for a copy takes only 16 bytes.

use std::collections::HashMap;

/// Id of a name within one [`Interner`].
pub(crate) type NameId = u16;

/// Assigns an id to each name on first use. Names are never removed, since their number is bounded
/// by the number of targets or client accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Interner {
    names: Vec<String>,
    ids: HashMap<String, NameId>,
}

impl Interner {
    /// Returns the id of `name` and assigns one if it has none; `None` once all 65,536 ids belong to
    /// other names.
    pub(crate) fn intern(&mut self, name: &str) -> Option<NameId> {
        if let Some(id) = self.ids.get(name) {
            return Some(*id);
        }
        let id = NameId::try_from(self.names.len()).ok()?;
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        Some(id)
    }

    /// Returns the id of `name`, if it has one.
    pub(crate) fn find(&self, name: &str) -> Option<NameId> {
        self.ids.get(name).copied()
    }

    /// Returns the name with this id.
    pub(crate) fn name(&self, id: NameId) -> &String {
        &self.names[usize::from(id)]
    }
}
