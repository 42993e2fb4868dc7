//! Authentication by bearer key, and request ids.

use {
    crate::{Backend, Caller, Refusal, RefusalKind},
    catalog::RequestId,
    hyper::header::{self, HeaderMap},
    rand::random,
};

/// Returns the BLAKE3 digest of a bearer key in hex. Keys are compared only by digest.
#[must_use]
pub fn digest_of(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Creates a random request id that cannot be guessed: 128 bits in hex.
#[must_use]
pub fn new_request_id() -> RequestId {
    format!("{:032x}", random::<u128>())
}

/// Identifies the caller by the `Authorization: Bearer` header.
pub(crate) fn authenticate<Service>(
    backend: &Service,
    headers: &HeaderMap,
) -> Result<Caller, Refusal>
where
    Service: Backend,
{
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::Unauthenticated,
                "no key; send the header `Authorization: Bearer KEY`",
            )
        })?;
    backend.caller(&digest_of(key)).ok_or_else(|| {
        Refusal::not_run(
            RefusalKind::Unauthenticated,
            "unknown key; ask the operator for a current one",
        )
    })
}
