//! Claims, which make a non-idempotent request run at most once.
//!
//! Before the first byte of a request is sent to a target, the instance creates a claim in the
//! key-value service, under the client account and the caller's idempotency key. The claim is
//! created only if none exists, so that of all attempts through all instances only one acquires it.
//! A claim is never taken over: an attempt whose instance died stays [`ClaimOutcome::Pending`],
//! since nobody can tell whether the request ran. Claims expire with their lease, after
//! [`ClaimSettings::retention`].
//!
//! ```
//! use {
//!     idempotency::{ClaimSettings, ClaimOutcome, Claims, StoredAnswer},
//!     keyvalue::MemoryKv,
//! };
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), idempotency::ClaimError> {
//! let claims = Claims::new(MemoryKv::new(), ClaimSettings::new("entry-1".to_owned()));
//! let account = "acme".to_owned();
//! let digest = [7; 32];
//! let ClaimOutcome::Acquired(claim) = claims.claim(&account, "booking-81", digest).await? else {
//!     panic!("the key was used before");
//! };
//! assert!(claim.may_send());
//! let answer = StoredAnswer {
//!     status: 200,
//!     content_type: "text/plain".to_owned(),
//!     body: "booked".into(),
//! };
//! claims.complete(claim, answer.clone()).await;
//! let repeated = claims.claim(&account, "booking-81", digest).await?;
//! assert_eq!(repeated, ClaimOutcome::Done(answer));
//! # Ok(())
//! # }
//! ```

mod background_writes;
mod claim;
mod claims;
mod error;
mod record;
mod settings;
mod shared_lease;
mod write_batcher;

pub use {
    claim::{Claim, ClaimOutcome, StoredAnswer},
    claims::Claims,
    error::ClaimError,
    settings::ClaimSettings,
};
