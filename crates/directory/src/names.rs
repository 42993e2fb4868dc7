//! Short numbers for long names, so that a copy takes 16 bytes.

use std::collections::HashMap;

/// Number of a name within one [`Names`].
pub(crate) type NameIndex = u16;

/// Assigns a number to each name on first use. Names are never removed: there are as many as
/// targets or client accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Names {
    names: Vec<String>,
    indexes: HashMap<String, NameIndex>,
}

impl Names {
    /// The number of `name`, assigned now if it has none. Beyond 65,536 names the last number is
    /// shared, which is far above the number of targets of one fleet.
    pub(crate) fn intern(&mut self, name: &str) -> NameIndex {
        if let Some(index) = self.indexes.get(name) {
            return *index;
        }
        let index = NameIndex::try_from(self.names.len()).unwrap_or(NameIndex::MAX);
        self.names.push(name.to_owned());
        self.indexes.insert(name.to_owned(), index);
        index
    }

    /// The number of `name`, if it has one.
    pub(crate) fn find(&self, name: &str) -> Option<NameIndex> {
        self.indexes.get(name).copied()
    }

    /// The name with number `index`.
    pub(crate) fn name(&self, index: NameIndex) -> &String {
        &self.names[usize::from(index)]
    }
}
