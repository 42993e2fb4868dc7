//! All objects of the configuration at one revision, with the revision of each object.

use {
    crate::keys::{CONFIG_PREFIX, LAST_CHANGE_KEY, parse_object_key},
    bytes::Bytes,
    catalog::{Catalog, Object, ObjectKind, Revision},
    keyvalue::{Event, KvPair, Range},
    serde::{Deserialize, Serialize},
    serde_json::value::{RawValue, to_raw_value},
    snafu::{ResultExt, Snafu},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// The configuration as of one revision of the key-value service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The objects. The revision of the catalog is that of the last change of the configuration.
    pub catalog: Arc<Catalog>,
    /// Revision of each object's last change, which a request to change the object must contain.
    pub revisions: BTreeMap<(ObjectKind, String), Revision>,
    /// Revision up to which the objects are known to be unchanged; at least the catalog's revision.
    pub as_of: Revision,
    /// Reasons why this version of the software, or that of the peer which it comes from, cannot read the
    /// object at a key, by key.
    pub unreadable: BTreeMap<String, String>,
}

/// A peer's snapshot could not be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("snapshot cannot be read: {source}; ask another peer or wait for the service"))]
pub struct SnapshotError {
    source: serde_json::Error,
}

/// The JSON form of a snapshot that peers exchange.
#[derive(Debug, Deserialize, Serialize)]
struct SnapshotDto {
    revision: Revision,
    as_of: Revision,
    confirmed_age_ms: u64,
    /// Each a [`VersionedObject`], also of kinds that a later version has.
    objects: Vec<Box<RawValue>>,
    /// [`Snapshot::unreadable`]; earlier versions leave it out.
    #[serde(default)]
    unreadable: BTreeMap<String, String>,
}

/// The parts of an object that name its key.
#[derive(Debug, Deserialize)]
struct NamedObject {
    object: ObjectName,
}

#[derive(Debug, Deserialize)]
struct ObjectName {
    kind: String,
    name: String,
}

/// An object with the revision of its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedObject {
    /// Revision of the object's last change.
    pub revision: Revision,
    /// The object.
    pub object: Object,
}

impl Snapshot {
    /// Builds the snapshot from a complete read of the configuration's key prefix.
    #[must_use]
    pub fn from_range(range: &Range) -> Self {
        let mut snapshot = Self {
            as_of: range.revision,
            ..Self::default()
        };
        let mut objects = Vec::new();
        let mut revision = 0;
        for pair in &range.pairs {
            revision = revision.max(pair.mod_revision);
            objects.extend(snapshot.read_pair(pair));
        }
        snapshot.catalog = Arc::new(Catalog::from_objects(revision, objects));
        snapshot
    }

    /// Returns a copy with all changes of one revision applied.
    #[must_use]
    pub fn with_changes(&self, revision: Revision, events: &[Event]) -> Self {
        let mut next = self.clone();
        let mut catalog = Catalog::clone(&self.catalog);
        for event in events {
            match event {
                Event::Put(pair) => {
                    if let Some(object) = next.read_pair(pair) {
                        catalog.put(object);
                    }
                }
                Event::Delete(key, _) => next.delete_key(&mut catalog, key),
                Event::Progress(_) => {}
            }
        }
        catalog.revision = revision;
        next.catalog = Arc::new(catalog);
        next.as_of = revision;
        next
    }

    /// Revision of one object's last change; 0 if the object does not exist.
    #[must_use]
    pub fn revision_of(&self, kind: ObjectKind, name: &str) -> Revision {
        let key = (kind, name.to_owned());
        self.revisions.get(&key).copied().unwrap_or_default()
    }

    /// One object with its revision, or `None` if it does not exist.
    #[must_use]
    pub fn object(&self, kind: ObjectKind, name: &str) -> Option<VersionedObject> {
        Some(VersionedObject {
            revision: self.revision_of(kind, name),
            object: self.catalog.object(kind, name)?,
        })
    }

    /// Serializes the snapshot for [`Snapshot::from_json`]. `confirmed_age` is the time since the
    /// service last confirmed the snapshot.
    ///
    /// # Panics
    ///
    /// Never: all members can be serialized to JSON.
    #[must_use]
    pub fn to_json(&self, confirmed_age: Duration) -> Bytes {
        let objects = self
            .revisions
            .keys()
            .filter_map(|(kind, name)| self.object(*kind, name))
            .map(|object| to_raw_value(&object).expect("objects can be serialized to JSON"))
            .collect();
        let dto = SnapshotDto {
            revision: self.catalog.revision,
            as_of: self.as_of,
            confirmed_age_ms: u64::try_from(confirmed_age.as_millis()).unwrap_or(u64::MAX),
            objects,
            unreadable: self.unreadable.clone(),
        };
        let json = serde_json::to_vec(&dto).expect("snapshots can be serialized to JSON");
        Bytes::from(json)
    }

    /// Parses a peer's snapshot. Also returns the time since the service last confirmed it to that
    /// peer.
    ///
    /// # Errors
    ///
    /// The bytes are not a snapshot. An object that this version cannot parse is left out, and recorded as
    /// unreadable.
    pub fn from_json(json: &[u8]) -> Result<(Self, Duration), SnapshotError> {
        let dto: SnapshotDto = serde_json::from_slice(json).context(SnapshotSnafu)?;
        let mut snapshot = Self {
            as_of: dto.as_of.max(dto.revision),
            unreadable: dto.unreadable,
            ..Self::default()
        };
        let mut objects = Vec::new();
        for (index, raw) in dto.objects.iter().enumerate() {
            match serde_json::from_str::<VersionedObject>(raw.get()) {
                Ok(VersionedObject { revision, object }) => {
                    let key = (object.kind(), object.name().to_owned());
                    snapshot.revisions.insert(key, revision);
                    objects.push(object);
                }
                Err(error) => {
                    let key = unreadable_key(raw, index);
                    snapshot.unreadable.insert(key, error.to_string());
                }
            }
        }
        snapshot.catalog = Arc::new(Catalog::from_objects(dto.revision, objects));
        Ok((snapshot, Duration::from_millis(dto.confirmed_age_ms)))
    }

    /// Keeps the objects of an earlier snapshot that this one lacks only because they could not be read.
    pub(crate) fn keep_unreadable_of(&mut self, earlier: &Self) {
        let keys = self.unreadable.keys();
        let names = keys.filter_map(|key| parse_object_key(key));
        let lacking = names.filter(|(kind, name)| self.object(*kind, name).is_none());
        let kept: Vec<VersionedObject> = lacking
            .filter_map(|(kind, name)| earlier.object(kind, name))
            .collect();
        let catalog = Arc::make_mut(&mut self.catalog);
        for VersionedObject { revision, object } in kept {
            let key = (object.kind(), object.name().to_owned());
            self.revisions.insert(key, revision);
            catalog.put(object);
        }
    }

    /// Parses the object of a pair and records its revision. Returns `None` for the key of the last
    /// change, and for any other pair that is not a valid object; the latter is recorded in
    /// `unreadable`.
    fn read_pair(&mut self, pair: &KvPair) -> Option<Object> {
        if pair.key == LAST_CHANGE_KEY {
            return None;
        }
        let Some((kind, name)) = parse_object_key(&pair.key) else {
            let reason = "not the key of an object; delete it".to_owned();
            self.unreadable.insert(pair.key.clone(), reason);
            return None;
        };
        match Object::from_json(kind, &pair.value) {
            Ok(object) if object.name() == name => {
                self.unreadable.remove(&pair.key);
                let key = (kind, name.to_owned());
                self.revisions.insert(key, pair.mod_revision);
                Some(object)
            }
            Ok(object) => {
                let reason = format!("holds the object {}; write it anew", object.name());
                self.unreadable.insert(pair.key.clone(), reason);
                None
            }
            Err(error) => {
                self.unreadable.insert(pair.key.clone(), error.to_string());
                None
            }
        }
    }

    /// Removes the object at a key, whether or not it was readable.
    fn delete_key(&mut self, catalog: &mut Catalog, key: &str) {
        self.unreadable.remove(key);
        let Some((kind, name)) = parse_object_key(key) else {
            return;
        };
        self.revisions.remove(&(kind, name.to_owned()));
        catalog.remove(kind, name);
    }
}

/// Key of an object of a peer's snapshot that can't be read, or what stands for it.
fn unreadable_key(raw: &RawValue, index: usize) -> String {
    match serde_json::from_str(raw.get()) {
        Ok(NamedObject { object }) => format!("{CONFIG_PREFIX}{}/{}", object.kind, object.name),
        Err(_) => format!("object {index} of a peer's snapshot"),
    }
}
