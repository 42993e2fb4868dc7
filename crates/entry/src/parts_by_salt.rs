//! Parts that a store holds, grouped by model and salt.

use {
    crate::HeldPart,
    catalog::ModelId,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Parts that a store holds, grouped by model and salt. There are few groups, and all parts of a
/// group are withdrawn and freed together.
#[derive(Clone, Debug, Default)]
pub struct PartsBySalt {
    groups: BTreeMap<(ModelId, String), Group>,
}

/// The parts of one model and salt.
#[derive(Clone, Debug, Default)]
struct Group {
    /// Token count of each part, by its id.
    parts: HashMap<String, u32>,
    /// Time from which the parts are no longer reported to be held; `None` while they are.
    withdrawn_at: Option<Duration>,
}

impl PartsBySalt {
    /// Records how many tokens of a part are held; removes the part if it has none.
    pub fn set(&mut self, part: &HeldPart) {
        let key = (part.model.clone(), part.salt.clone());
        if part.tokens > 0 {
            let group = self.groups.entry(key).or_default();
            group.parts.insert(part.id.clone(), part.tokens);
            return;
        }
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        group.parts.remove(&part.id);
        if group.parts.is_empty() {
            self.groups.remove(&key);
        }
    }

    /// Whether a part must not be reported to be held, since its group was withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, part: &HeldPart) -> bool {
        let key = (part.model.clone(), part.salt.clone());
        let group = self.groups.get(&key);
        group.is_some_and(|group| group.withdrawn_at.is_some())
    }

    /// Withdraws the groups of model and salt for which `is_obsolete` returns true. Returns the parts
    /// of those that were not withdrawn before.
    pub fn withdraw<IsObsolete>(&mut self, now: Duration, is_obsolete: IsObsolete) -> Vec<HeldPart>
    where
        IsObsolete: Fn(&ModelId, &str) -> bool,
    {
        let mut withdrawn = Vec::new();
        for ((model, salt), group) in &mut self.groups {
            if group.withdrawn_at.is_none() && is_obsolete(model, salt) {
                group.withdrawn_at = Some(now);
                withdrawn.extend(group.held_parts(model, salt));
            }
        }
        withdrawn
    }

    /// The parts that were withdrawn at `cutoff` or before.
    pub fn withdrawn_by(&self, cutoff: Duration) -> impl Iterator<Item = HeldPart> {
        let groups = self.groups.iter();
        let groups =
            groups.filter(move |(_, group)| group.withdrawn_at.is_some_and(|at| at <= cutoff));
        groups.flat_map(|((model, salt), group)| group.held_parts(model, salt))
    }

    /// Removes everything, for example after a restart of the store.
    pub fn clear(&mut self) {
        self.groups.clear();
    }
}

impl Group {
    /// The parts of the group, which is that of `model` and `salt`.
    fn held_parts(&self, model: &str, salt: &str) -> impl Iterator<Item = HeldPart> {
        self.parts.iter().map(|(id, tokens)| HeldPart {
            salt: salt.to_owned(),
            id: id.clone(),
            tokens: *tokens,
            model: model.to_owned(),
        })
    }
}
