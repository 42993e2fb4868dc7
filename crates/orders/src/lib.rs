//! Desired against observed state of targets, leases and fencing numbers.
