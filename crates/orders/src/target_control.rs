//! The interface through which targets are observed and receive orders.

use {
    crate::{ObservedState, Order},
    catalog::Target,
    fencing::FencingToken,
    snafu::Snafu,
    std::future::Future,
};

/// Why an order or an observation failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum OrderError {
    /// The target has accepted an order with a higher fencing token.
    #[snafu(display(
        "target has accepted orders with fencing token {newest}, so another instance holds it; \
         check the clocks of both instances and that their names differ"
    ))]
    StaleFencing {
        /// Highest fencing token that the target has seen.
        newest: FencingToken,
    },
    /// The target refused the order and did nothing.
    #[snafu(display("target refused the order: {reason}; check that it knows the version"))]
    Refused {
        /// The reason that the target gave.
        reason: String,
    },
    /// The target did not answer; it may have accepted the order.
    #[snafu(display("target did not answer: {reason}; check that it runs and can be reached"))]
    NoAnswer {
        /// Why there is no answer.
        reason: String,
    },
}

/// Observes targets and sends them orders.
pub trait TargetControl: Send + Sync + 'static {
    /// Reads the state that a target reports.
    fn observe(
        &self,
        target: &Target,
    ) -> impl Future<Output = Result<ObservedState, OrderError>> + Send;

    /// Sends one order. It must be sent immediately or not at all, and must not be retried: a
    /// delayed order could arrive after this instance has lost the target.
    fn order(
        &self,
        target: &Target,
        fencing_token: FencingToken,
        order: &Order,
    ) -> impl Future<Output = Result<(), OrderError>> + Send;
}
