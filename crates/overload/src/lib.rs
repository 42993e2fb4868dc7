//! Decides which calls are refused while a pool has too little room for all of them.
//!
//! The crate reads no clock and does no I/O. [`OverloadControl`] learns from the calls of one instance
//! how long calls of each priority wait at targets, for each token in flight there. With the loads
//! that all instances report, this predicts the start of the next call. Above half of the latency
//! objective, calls are refused with a probability that rises with the predicted start, so that the
//! remaining ones start in time.
//!
//! ```
//! use overload::{CallNeeds, Decision, OverloadControl, PoolState, TargetRoom};
//! use std::time::Duration;
//!
//! let targets = [TargetRoom { slots_count: 48, calls_count: 12.0, tokens_count: 9_000.0 }];
//! let pool = PoolState { targets: &targets, covered_count: 40, instances_count: 40 };
//! let call = CallNeeds {
//!     priority: 0,
//!     account: "search",
//!     tokens_count: 300,
//!     latency_objective: Duration::from_millis(400),
//!     time_limit: Duration::from_secs(15),
//!     time_left: Duration::from_secs(15),
//!     draw: 0x5eed,
//! };
//! let assessment = OverloadControl::default().assess(&pool, &call, Duration::ZERO);
//! assert_eq!(assessment.decision, Decision::Run, "three quarters of the slots are free");
//! ```

mod account_shares;
mod assessment;
mod call_needs;
mod decayed_sum;
mod overload_control;
mod pool_state;
mod priority_class;
mod start_pace;

pub use {
    assessment::{Assessment, Decision, RefusalCause},
    call_needs::CallNeeds,
    overload_control::OverloadControl,
    pool_state::{PoolState, TargetRoom},
};
