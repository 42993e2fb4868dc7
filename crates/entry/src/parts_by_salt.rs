//! What a store holds, by model and salt.

use {
    crate::HeldPart,
    catalog::ModelId,
    std::collections::{BTreeMap, HashMap},
};

/// What a store holds, by model and salt: there are few of them, and all parts of one are freed alike.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartsBySalt {
    /// Tokens by id.
    groups: BTreeMap<(ModelId, String), HashMap<String, u32>>,
}

impl PartsBySalt {
    /// Notes what is held of a part; nothing if it has no tokens.
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

    /// The parts of those models and salts that `wanted` names.
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

    /// Drops all.
    pub(crate) fn clear(&mut self) {
        self.groups.clear();
    }
}
