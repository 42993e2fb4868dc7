//! What identifies a call that comes again.

use parts::PartKey;

/// Key of a call: the first 8 bytes of a digest over its identity. All instances derive the same
/// key.
pub type CallKey = u64;

/// What identifies a call that comes again. Its request id is not part of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallIdentity<'call> {
    /// HTTP method.
    pub method: &'call str,
    /// Host that the call is for.
    pub host: &'call str,
    /// Path and query.
    pub path: &'call str,
    /// Name of the client account; empty if the call needs none.
    pub account: &'call str,
    /// Parts of the prompt that other calls may share.
    pub parts: &'call [PartKey],
    /// Body.
    pub body: &'call [u8],
}

impl CallIdentity<'_> {
    /// Derives the key of the call.
    #[must_use]
    pub fn key(&self) -> CallKey {
        let mut hasher = blake3::Hasher::new();
        for text in [self.method, self.host, self.path, self.account] {
            // The length keeps texts apart that differ only in where one ends.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&(self.parts.len() as u64).to_le_bytes());
        for part in self.parts {
            hasher.update(&part.to_le_bytes());
        }
        hasher.update(self.body);
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        CallKey::from_le_bytes(bytes)
    }
}
