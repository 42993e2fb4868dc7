//! Shared keys that authenticate entry instances to each other.

use {
    snafu::{Snafu, ensure},
    std::{fmt, str::FromStr},
};

/// Minimum length of a key's text.
pub const MIN_KEY_BYTES: usize = 16;
/// Separates the keys in a setting.
const KEY_SEPARATOR: char = ',';
/// Context string of the key derivation, for domain separation.
const KEY_CONTEXT: &str = "rattanpost 2026-12 peer key";

/// A key that proves that the other side is an entry instance. [`fmt::Debug`] does not print it.
#[derive(Clone)]
pub struct PeerKey([u8; blake3::KEY_LEN]);

impl PeerKey {
    pub(crate) fn bytes(&self) -> &[u8; blake3::KEY_LEN] {
        &self.0
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerKey(not shown)")
    }
}

/// Why a setting with peer keys is invalid.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PeerKeyError {
    /// A key is so short that it could be guessed.
    #[snafu(display(
        "peer key has {length_bytes} bytes; use at least {MIN_KEY_BYTES} random ones"
    ))]
    TooShort {
        /// Length of the key in bytes.
        length_bytes: usize,
    },
}

impl TryFrom<&str> for PeerKey {
    type Error = PeerKeyError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let length_bytes = text.len();
        ensure!(
            length_bytes >= MIN_KEY_BYTES,
            TooShortSnafu { length_bytes }
        );
        Ok(Self(blake3::derive_key(KEY_CONTEXT, text.as_bytes())))
    }
}

/// The keys that an instance accepts. It authenticates itself with the first one.
///
/// To rotate keys, append the new key on all instances, then move it to the front on all, then
/// remove the old one. At each step, every pair of instances shares a key.
#[derive(Clone, Debug)]
pub struct PeerKeys {
    keys: Vec<PeerKey>,
}

impl PeerKeys {
    /// The key that this instance authenticates itself with.
    pub(crate) fn first(&self) -> &PeerKey {
        &self.keys[0]
    }

    /// All keys in order of preference.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PeerKey> {
        self.keys.iter()
    }
}

impl From<PeerKey> for PeerKeys {
    fn from(key: PeerKey) -> Self {
        Self { keys: vec![key] }
    }
}

impl TryFrom<&[String]> for PeerKeys {
    type Error = PeerKeyError;

    fn try_from(texts: &[String]) -> Result<Self, Self::Error> {
        texts.join(&KEY_SEPARATOR.to_string()).parse()
    }
}

impl FromStr for PeerKeys {
    type Err = PeerKeyError;

    /// Parses keys separated by commas. Whitespace around a key is not part of it.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let keys = text
            .split(KEY_SEPARATOR)
            .map(|key| PeerKey::try_from(key.trim()))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self { keys })
    }
}
