//! The keys that entry instances share.

use {
    snafu::{Snafu, ensure},
    std::{fmt, str::FromStr},
};

/// Least length of a key's text.
pub const MIN_KEY_BYTES: usize = 16;
/// Separates keys in a setting.
const KEY_SEPARATOR: char = ',';
/// Domain separation for keys.
const KEY_CONTEXT: &str = "rattanpost 2026-12 peer key";

/// A key that proves that the other end is an entry instance. Never printed.
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

/// A setting with peer keys is not usable.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PeerKeyError {
    /// A key is short enough to be guessed.
    #[snafu(display(
        "peer key has {length_bytes} bytes; use at least {MIN_KEY_BYTES} random ones"
    ))]
    TooShort {
        /// Its length.
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

/// The keys an instance accepts; it offers the first.
///
/// To rotate: add the new key at the end on all instances, then move it to the front on all, then
/// drop the old one. At each step every pair of instances has a key in common.
#[derive(Clone, Debug)]
pub struct PeerKeys {
    keys: Vec<PeerKey>,
}

impl PeerKeys {
    /// The key to offer.
    pub(crate) fn first(&self) -> &PeerKey {
        &self.keys[0]
    }

    /// All keys, the first one first.
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

    /// Reads keys separated by commas. Blanks around a key are not part of it.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let keys = text
            .split(KEY_SEPARATOR)
            .map(|key| PeerKey::try_from(key.trim()))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self { keys })
    }
}
