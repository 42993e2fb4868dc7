//! Admission control for transfers on a link.

/// Rate at which a transfer uses a link, as measured for transfers of its kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TransferRate {
    /// Mean rate in bytes per second.
    pub mean_bytes_per_s: f64,
    /// Standard deviation of the rate in bytes per second.
    pub deviation_bytes_per_s: f64,
}

/// How much headroom is kept for the variation of the transfers' rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HeadroomRule {
    /// Each transfer reserves its mean rate plus a multiple of its own standard deviation.
    PerTransfer {
        /// Number of standard deviations reserved for each transfer.
        deviations: f64,
    },
    /// A multiple of the standard deviation of the sum of all rates is kept free beside the sum of
    /// the means. That deviation is the root of the summed variances, which is correct as far as
    /// the transfers vary independently.
    Aggregate {
        /// Number of standard deviations of the sum that are kept free.
        deviations: f64,
    },
}

/// Default number of standard deviations of the sum that are kept free.
const DEFAULT_DEVIATIONS: f64 = 4.0;

impl Default for HeadroomRule {
    fn default() -> Self {
        Self::Aggregate {
            deviations: DEFAULT_DEVIATIONS,
        }
    }
}

/// Admits transfers to a link as long as their rates are not expected to exceed its capacity.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    /// Capacity of the link in bytes per second.
    pub capacity_bytes_per_s: f64,
    rule: HeadroomRule,
    mean_bytes_per_s: f64,
    deviation_bytes_per_s: f64,
    variance: f64,
    transfers_count: u32,
}

impl LinkBudget {
    /// Returns the budget of a link without transfers.
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

    /// Admits a transfer if the link has capacity for it, and returns whether it did.
    ///
    /// An idle link admits any transfer.
    pub fn try_admit(&mut self, rate: TransferRate) -> bool {
        let mut with_transfer = self.clone();
        with_transfer.add(rate, 1.0);
        if self.transfers_count > 0 && with_transfer.used_bytes_per_s() > self.capacity_bytes_per_s
        {
            return false;
        }
        with_transfer.transfers_count += 1;
        *self = with_transfer;
        true
    }

    /// Frees the capacity of an admitted transfer that has ended.
    pub fn release(&mut self, rate: TransferRate) {
        self.transfers_count = self.transfers_count.saturating_sub(1);
        if self.transfers_count == 0 {
            *self = Self::new(self.capacity_bytes_per_s, self.rule);
            return;
        }
        self.add(rate, -1.0);
    }

    /// Returns the used rate including headroom, in bytes per second.
    #[must_use]
    pub fn used_bytes_per_s(&self) -> f64 {
        let headroom = match self.rule {
            HeadroomRule::PerTransfer { deviations } => deviations * self.deviation_bytes_per_s,
            HeadroomRule::Aggregate { deviations } => deviations * self.variance.max(0.0).sqrt(),
        };
        self.mean_bytes_per_s + headroom
    }

    /// Returns the number of admitted transfers.
    #[must_use]
    pub fn transfers_count(&self) -> u32 {
        self.transfers_count
    }

    fn add(&mut self, rate: TransferRate, sign: f64) {
        self.mean_bytes_per_s += sign * rate.mean_bytes_per_s;
        self.deviation_bytes_per_s += sign * rate.deviation_bytes_per_s;
        self.variance += sign * rate.deviation_bytes_per_s.powi(2);
    }
}
