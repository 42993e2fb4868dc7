//! Parts that a store holds, grouped by model and salt.

use {
    crate::HeldPart,
    catalog::ModelId,
    std::collections::{BTreeMap, HashMap},
};

/// Parts that a store holds, grouped by model and salt. There are few groups, and all parts of a
/// group are freed together.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartsBySalt {
    /// Token count of each part, by its id.
    groups: BTreeMap<(ModelId, String), HashMap<String, u32>>,
}

impl PartsBySalt {
    /// Records how many tokens of a part are held; removes the part if it has none.
    pub(crate) fn set(&mut self, part: &HeldPart) {
        let key = (part.model.clone(), part.salt.clone());
        if part.tokens > 0 {
            let group = self.groups.entry(key).or_default();
            group.insert(part.id.clone(), part.tokens);
            return;
        }
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        group.remove(&part.id);
        if group.is_empty() {
            self.groups.remove(&key);
        }
    }

    /// Returns the parts of the groups for which `wanted` returns true.
    pub(crate) fn matching<Wanted>(&self, wanted: Wanted) -> impl Iterator<Item = HeldPart>
    where
        Wanted: Fn(&ModelId, &str) -> bool,
    {
        let groups = self.groups.iter();
        let groups = groups.filter(move |((model, salt), _)| wanted(model, salt));
        groups.flat_map(|((model, salt), parts)| {
            parts.iter().map(|(id, tokens)| HeldPart {
                salt: salt.clone(),
                id: id.clone(),
                tokens: *tokens,
                model: model.clone(),
            })
        })
    }

    pub(crate) fn clear(&mut self) {
        self.groups.clear();
    }
}
