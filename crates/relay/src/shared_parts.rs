//! The parts of a prompt that several calls share.

use {
    crate::{
        Prompt,
        salt::{CacheScope, salt},
    },
    parts::PromptPart,
};

/// The parts of a prompt that other calls may share: all but the last. Their cache keys include
/// `salt`, which stands for the weights version and for who may use the parts.
pub(crate) fn shared_parts(prompt: &Prompt, salt: &str) -> Vec<PromptPart> {
    let [shared @ .., _] = prompt.parts.as_slice() else {
        return Vec::new();
    };
    let parts = shared.iter();
    parts
        .map(|part| PromptPart::new(salt, &part.id, part.tokens))
        .collect()
}

/// Shared parts of one call for each weights version, since their cache keys depend on the version.
#[derive(Debug, Default)]
pub(crate) struct SharedPartsByVersion {
    by_version: Vec<(u64, Vec<PromptPart>)>,
}

impl SharedPartsByVersion {
    /// Shared parts for weights `version`, computed at the first use.
    pub(crate) fn for_version(
        &mut self,
        version: u64,
        prompt: &Prompt,
        scope: &CacheScope,
    ) -> &[PromptPart] {
        let position = self.by_version.iter().position(|it| it.0 == version);
        let index = position.unwrap_or_else(|| {
            let salt = salt(version, scope);
            self.by_version.push((version, shared_parts(prompt, &salt)));
            self.by_version.len() - 1
        });
        &self.by_version[index].1
    }
}
