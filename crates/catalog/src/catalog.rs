//! All objects of the configuration at one revision.

use {
    crate::{
        ClientAccount, ClientAccountId, Edit, InvalidField, Labels, ModelVersion, ModelVersionId,
        Object, ObjectKind, PlacementRule, PlacementRuleId, Revision, Target, TargetId,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// All configured objects as of one revision.
///
/// At most one version of a model is active: [`Catalog::put`] of an active version deactivates the
/// model's other versions, so that one change moves all new requests from one version to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Revision of the key-value service that the objects correspond to.
    pub revision: Revision,
    /// Client accounts by name.
    pub client_accounts: BTreeMap<ClientAccountId, ClientAccount>,
    /// Model versions by name.
    pub model_versions: BTreeMap<ModelVersionId, ModelVersion>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, Target>,
    /// Placement rules by name.
    pub placement_rules: BTreeMap<PlacementRuleId, PlacementRule>,
    /// Client account of each key digest, see [`Catalog::index_keys`]. A digest that two accounts
    /// share is ambiguous and therefore left out, so it authenticates neither.
    pub accounts_by_key_digest: BTreeMap<String, ClientAccountId>,
}

impl Catalog {
    /// Builds a catalog from objects. It is not checked; see [`Catalog::check_key_owners`].
    pub fn from_objects<Objects>(revision: Revision, objects: Objects) -> Self
    where
        Objects: IntoIterator<Item = Object>,
    {
        let mut catalog = Self {
            revision,
            ..Self::default()
        };
        for object in objects {
            catalog.insert(object);
        }
        catalog.index_keys();
        catalog
    }

    /// Returns a copy with one object created or replaced.
    ///
    /// # Errors
    ///
    /// See [`Catalog::check_key_owners`].
    pub fn with_object(&self, object: Object) -> Result<Self, InvalidField> {
        self.with_edits(&[Edit::Put(object)])
    }

    /// Returns a copy without one object; the copy is unchanged if there is no such object.
    #[must_use]
    pub fn without_object(&self, kind: ObjectKind, name: &str) -> Self {
        let mut catalog = self.clone();
        catalog.remove(kind, name);
        catalog
    }

    /// Returns a copy with several changes applied together.
    ///
    /// # Errors
    ///
    /// See [`Catalog::check_key_owners`]; also if two of the edits name the same object, or
    /// activate two versions of one model.
    pub fn with_edits(&self, edits: &[Edit]) -> Result<Self, InvalidField> {
        check_edits(edits)?;
        let mut catalog = self.clone();
        for edit in edits {
            catalog.apply_edit(edit);
        }
        catalog.index_keys();
        catalog.check_key_owners()?;
        Ok(catalog)
    }

    /// Creates or replaces one object in place and updates the index of keys.
    pub fn put(&mut self, object: Object) {
        let is_account = object.kind() == ObjectKind::ClientAccount;
        self.deactivate_others(&object);
        self.insert(object);
        if is_account {
            self.index_keys();
        }
    }

    /// Deletes one object in place and updates the index of keys.
    pub fn remove(&mut self, kind: ObjectKind, name: &str) {
        self.delete(kind, name);
        if kind == ObjectKind::ClientAccount {
            self.index_keys();
        }
    }

    /// Checks that no key digest belongs to two client accounts, since the bearer key identifies
    /// the account.
    ///
    /// # Errors
    ///
    /// Names the account and the position of the digest.
    pub fn check_key_owners(&self) -> Result<(), InvalidField> {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for account in self.client_accounts.values() {
            for (index, digest) in account.key_digests.iter().enumerate() {
                let Some(other) = owners.insert(digest, &account.name) else {
                    continue;
                };
                return Err(InvalidField::new(
                    &format!("client_account {}.key_digests[{index}]", account.name),
                    format!("client account {other} has the same key"),
                    "give each account keys of its own",
                ));
            }
        }
        Ok(())
    }

    /// Rebuilds [`Catalog::accounts_by_key_digest`]; call it after modifying `client_accounts`
    /// directly.
    pub fn index_keys(&mut self) {
        let mut index = BTreeMap::new();
        let mut ambiguous = BTreeSet::new();
        for account in self.client_accounts.values() {
            for digest in &account.key_digests {
                let earlier = index.insert(digest.clone(), account.name.clone());
                if earlier.is_some_and(|earlier| earlier != account.name) {
                    ambiguous.insert(digest.clone());
                }
            }
        }
        index.retain(|digest, _| !ambiguous.contains(digest));
        self.accounts_by_key_digest = index;
    }

    /// The client account whose bearer key has this BLAKE3 digest (in hex), if there is one.
    #[must_use]
    pub fn account_by_key_digest(&self, digest: &str) -> Option<&ClientAccount> {
        let name = self.accounts_by_key_digest.get(digest)?;
        self.client_accounts.get(name)
    }

    /// The object of this kind and name, if there is one.
    #[must_use]
    pub fn object(&self, kind: ObjectKind, name: &str) -> Option<Object> {
        match kind {
            ObjectKind::ClientAccount => {
                let account = self.client_accounts.get(name)?;
                Some(Object::ClientAccount(account.clone()))
            }
            ObjectKind::ModelVersion => {
                let version = self.model_versions.get(name)?;
                Some(Object::ModelVersion(version.clone()))
            }
            ObjectKind::Target => {
                let target = self.targets.get(name)?;
                Some(Object::Target(target.clone()))
            }
            ObjectKind::PlacementRule => {
                let rule = self.placement_rules.get(name)?;
                Some(Object::PlacementRule(rule.clone()))
            }
        }
    }

    /// Names and labels of all objects of a kind, sorted by name.
    #[must_use]
    pub fn names_and_labels(&self, kind: ObjectKind) -> Vec<(&str, &Labels)> {
        match kind {
            ObjectKind::ClientAccount => self
                .client_accounts
                .values()
                .map(|account| (account.name.as_str(), &account.labels))
                .collect(),
            ObjectKind::ModelVersion => self
                .model_versions
                .values()
                .map(|version| (version.name.as_str(), &version.labels))
                .collect(),
            ObjectKind::Target => self
                .targets
                .values()
                .map(|target| (target.name.as_str(), &target.labels))
                .collect(),
            ObjectKind::PlacementRule => self
                .placement_rules
                .values()
                .map(|rule| (rule.name.as_str(), &rule.labels))
                .collect(),
        }
    }

    /// The active version of a model, if there is one.
    #[must_use]
    pub fn active_version(&self, model: &str) -> Option<&ModelVersion> {
        self.model_versions
            .values()
            .find(|version| version.active && version.model == model)
    }

    /// The placement rule for a client account and a model version, if one matches: the one with
    /// the highest precedence, or of several such rules the one with the lowest name.
    #[must_use]
    pub fn rule_for(
        &self,
        account: &ClientAccount,
        version: &ModelVersion,
    ) -> Option<&PlacementRule> {
        self.placement_rules
            .values()
            .filter(|rule| {
                rule.client_accounts.matches(&account.labels)
                    && rule.model_versions.matches(&version.labels)
            })
            .max_by(|left, right| {
                left.precedence
                    .cmp(&right.precedence)
                    .then_with(|| right.name.cmp(&left.name))
            })
    }

    fn apply_edit(&mut self, edit: &Edit) {
        match edit {
            Edit::Put(object) => {
                self.deactivate_others(object);
                self.insert(object.clone());
            }
            Edit::Delete(kind, name) => self.delete(*kind, name),
        }
    }

    fn insert(&mut self, object: Object) {
        let name = object.name().to_owned();
        match object {
            Object::ClientAccount(account) => {
                self.client_accounts.insert(name, account);
            }
            Object::ModelVersion(version) => {
                self.model_versions.insert(name, version);
            }
            Object::Target(target) => {
                self.targets.insert(name, target);
            }
            Object::PlacementRule(rule) => {
                self.placement_rules.insert(name, rule);
            }
        }
    }

    fn delete(&mut self, kind: ObjectKind, name: &str) {
        match kind {
            ObjectKind::ClientAccount => {
                self.client_accounts.remove(name);
            }
            ObjectKind::ModelVersion => {
                self.model_versions.remove(name);
            }
            ObjectKind::Target => {
                self.targets.remove(name);
            }
            ObjectKind::PlacementRule => {
                self.placement_rules.remove(name);
            }
        }
    }

    /// If `object` is an active model version, deactivates the other versions of its model.
    fn deactivate_others(&mut self, object: &Object) {
        let Object::ModelVersion(activated) = object else {
            return;
        };
        if !activated.active {
            return;
        }
        for version in self.model_versions.values_mut() {
            if version.model == activated.model && version.name != activated.name {
                version.active = false;
            }
        }
    }
}

/// Checks that no object is changed twice and no model gets two active versions.
fn check_edits(edits: &[Edit]) -> Result<(), InvalidField> {
    let mut changed_objects = BTreeSet::new();
    let mut active_versions = BTreeMap::new();
    for edit in edits {
        if !changed_objects.insert((edit.kind(), edit.name())) {
            return Err(InvalidField::new(
                &format!("{} {}", edit.kind(), edit.name()),
                "is changed twice",
                "keep one change for each object",
            ));
        }
        let Edit::Put(Object::ModelVersion(version)) = edit else {
            continue;
        };
        if !version.active {
            continue;
        }
        if let Some(other) = active_versions.insert(&version.model, &version.name) {
            return Err(InvalidField::new(
                &format!("model_version {}.active", version.name),
                format!(
                    "version {other} of model {} is activated too",
                    version.model
                ),
                "activate one version of a model",
            ));
        }
    }
    Ok(())
}
