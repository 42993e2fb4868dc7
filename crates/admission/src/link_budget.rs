//! Admission of transfers to a link.

/// Rate that a transfer takes of a link, as measured for transfers of its kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TransferRate {
    /// Mean rate in bytes a second.
    pub mean_bytes_per_s: f64,
    /// Standard deviation of the rate in bytes a second.
    pub deviation_bytes_per_s: f64,
}

/// How the rates of transfers add up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HeadroomRule {
    /// Each transfer reserves its mean plus this many of its own standard deviations.
    PerTransfer {
        /// Standard deviations reserved for each transfer.
        deviations: f64,
    },
    /// The means add up; beside them this many standard deviations of the sum are kept free, that
    /// is the root of the summed variances. Right as far as the transfers vary independently.
    Aggregate {
        /// Standard deviations of the sum kept free.
        deviations: f64,
    },
}

/// Standard deviations of the sum kept free by default.
const DEFAULT_DEVIATIONS: f64 = 4.0;

impl Default for HeadroomRule {
    fn default() -> Self {
        Self::Aggregate {
            deviations: DEFAULT_DEVIATIONS,
        }
    }
}

/// Admits transfers as long as a link is not expected to be overrun.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    /// Rate of the link in bytes a second.
    pub capacity_bytes_per_s: f64,
    rule: HeadroomRule,
    mean_bytes_per_s: f64,
    deviation_bytes_per_s: f64,
    variance: f64,
    transfers_count: u32,
}

impl LinkBudget {
    /// A link without transfers.
    #[must_use]
    pub fn new(capacity_bytes_per_s: f64, rule: HeadroomRule) -> Self {
        Self {
            capacity_bytes_per_s,
            rule,
            mean_bytes_per_s: 0.0,
            deviation_bytes_per_s: 0.0,
            variance: 0.0,
            transfers_count: 0,
        }
    }

    /// Admits a transfer if the link has room for it. An idle link admits any transfer.
    pub fn try_admit(&mut self, flow: TransferRate) -> bool {
        let mut with_flow = self.clone();
        with_flow.add(flow, 1.0);
        if self.transfers_count > 0 && with_flow.used_bytes_per_s() > self.capacity_bytes_per_s {
            return false;
        }
        with_flow.transfers_count += 1;
        *self = with_flow;
        true
    }

    /// Gives back the room of an admitted transfer, after it has ended.
    pub fn release(&mut self, flow: TransferRate) {
        self.transfers_count = self.transfers_count.saturating_sub(1);
        if self.transfers_count == 0 {
            *self = Self::new(self.capacity_bytes_per_s, self.rule);
            return;
        }
        self.add(flow, -1.0);
    }

    /// Rate that counts as used, in bytes a second.
    #[must_use]
    pub fn used_bytes_per_s(&self) -> f64 {
        let kept_free = match self.rule {
            HeadroomRule::PerTransfer { deviations } => deviations * self.deviation_bytes_per_s,
            HeadroomRule::Aggregate { deviations } => deviations * self.variance.max(0.0).sqrt(),
        };
        self.mean_bytes_per_s + kept_free
    }

    /// Transfers under way.
    #[must_use]
    pub fn transfers_count(&self) -> u32 {
        self.transfers_count
    }

    fn add(&mut self, flow: TransferRate, sign: f64) {
        self.mean_bytes_per_s += sign * flow.mean_bytes_per_s;
        self.deviation_bytes_per_s += sign * flow.deviation_bytes_per_s;
        self.variance += sign * flow.deviation_bytes_per_s.powi(2);
    }
}
