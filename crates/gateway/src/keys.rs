//! Bearer keys and request ids.

use {
    crate::{Backend, Caller, Refusal, RefusalKind},
    catalog::RequestId,
    hyper::header::{self, HeaderMap},
    rand::random,
};

/// BLAKE3 digest of a bearer key in hex. Keys are only ever compared by digest.
#[must_use]
pub fn digest_of(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// A request id that cannot be guessed.
#[must_use]
pub fn new_request_id() -> RequestId {
    format!("{:032x}", random::<u128>())
}

/// Who sent a request, by its `Authorization: Bearer` header.
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
