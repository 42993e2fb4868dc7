//! How targets are observed and ordered.

use {
    crate::{ObservedState, Order},
    catalog::{Revision, Target},
    snafu::Snafu,
    std::future::Future,
};

/// An order or observation failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum OrderError {
    /// The target took orders with a higher fencing number.
    #[snafu(display(
        "target took orders with fencing number {newest}; another instance holds it, check that \
         their clocks and instance names differ as they should"
    ))]
    StaleFencing {
        /// Highest number that the target knows.
        newest: Revision,
    },
    /// The target refused; it did nothing.
    #[snafu(display("target refused the order: {reason}; check that it knows the version"))]
    Refused {
        /// Its words.
        reason: String,
    },
    /// The target gave no answer; it may have taken the order.
    #[snafu(display("target gave no answer: {reason}; check that it runs and can be reached"))]
    NoAnswer {
        /// What happened to the answer.
        reason: String,
    },
}

/// Observes targets and gives them orders.
pub trait TargetControl: Send + Sync + 'static {
    /// Reads what a target reports about itself.
    fn observe(
        &self,
        target: &Target,
    ) -> impl Future<Output = Result<ObservedState, OrderError>> + Send;

    /// Gives one order. It must be sent at once or not at all, and never again.
    fn order(
        &self,
        target: &Target,
        fencing_token: Revision,
        order: &Order,
    ) -> impl Future<Output = Result<(), OrderError>> + Send;
}
