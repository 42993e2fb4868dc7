//! Why an exchange with a target failed.

use {
    catalog::VersionDigest,
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
};

/// Why an exchange with a target failed, and whether the request may have arrived.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SendError {
    /// No byte of the request was sent.
    #[snafu(display("{address} cannot be reached: {reason}; check that the target runs"))]
    NotSent {
        /// Address that was tried.
        address: SocketAddr,
        /// Why the connection could not be used.
        reason: String,
    },
    /// The target answered that it refused the request without running it.
    #[snafu(display("{address} refused the request before running it: {reason}"))]
    Refused {
        /// Address of the target.
        address: SocketAddr,
        /// Error type as the target names it, for example `version_mismatch`, `leaving`, `full`.
        reason: String,
        /// Time after which the target asks for a retry, if it does.
        retry_after: Option<Duration>,
    },
    /// The request may have arrived, and its answer is missing or incomplete.
    #[snafu(display("{address} gave no whole answer: {reason}; the request may have run"))]
    Unknown {
        /// Address of the target.
        address: SocketAddr,
        /// Why the answer is missing or incomplete.
        reason: String,
        /// Whether the connection ended before the answer was complete.
        disconnected: bool,
    },
    /// The answer comes from another version than the requested one.
    #[snafu(display(
        "{address} answered with version {version:?}, not the one it was asked for; check which \
         weights it has loaded"
    ))]
    OtherVersion {
        /// Address of the target.
        address: SocketAddr,
        /// Digest of the version that answered.
        version: VersionDigest,
    },
    /// The target answered with an error, or its answer is invalid.
    #[snafu(display("{address} answered {status}: {reason}; check the target's version and logs"))]
    Failed {
        /// Address of the target.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Start of the error's body, or why the answer is invalid.
        reason: String,
    },
}

impl SendError {
    /// Whether it is certain that no part of the request ran.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Refused { .. })
    }

    /// Whether the target refused because another version is loaded.
    #[must_use]
    pub fn is_version_mismatch(&self) -> bool {
        matches!(self, Self::Refused { reason, .. } if reason == "version_mismatch")
    }

    /// Whether the target refused because it takes no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        matches!(self, Self::Refused { reason, .. } if reason == "leaving")
    }
}
