//! Short numbers for long names, so that a copy takes 16 bytes.

use std::collections::HashMap;

/// Number of a name within one [`Interner`].
pub(crate) type NameId = u16;

/// Assigns a number to each name on first use. Names are never removed: there are as many as
/// targets or client accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Interner {
    names: Vec<String>,
    ids: HashMap<String, NameId>,
}

impl Interner {
    /// The number of `name`, assigned now if it has none. Beyond 65,536 names the last number is
    /// shared, which is far above the number of targets of one fleet.
    pub(crate) fn intern(&mut self, name: &str) -> NameId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = NameId::try_from(self.names.len()).unwrap_or(NameId::MAX);
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// The number of `name`, if it has one.
    pub(crate) fn find(&self, name: &str) -> Option<NameId> {
        self.ids.get(name).copied()
    }

    /// The name with number `index`.
    pub(crate) fn name(&self, id: NameId) -> &String {
        &self.names[usize::from(id)]
    }
}
