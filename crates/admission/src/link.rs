//! Admission of transfers to a link.

/// Rate that a transfer takes of a link, as measured for transfers of its kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// Mean rate in bytes a second.
    pub mean_bytes_per_s: f64,
    /// Standard deviation of the rate in bytes a second.
    pub deviation_bytes_per_s: f64,
}

/// How the rates of transfers add up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkRule {
    /// Each transfer reserves its mean plus this many of its own standard deviations.
    Reserved {
        /// Standard deviations reserved for each transfer.
        deviations: f64,
    },
    /// The means add up; beside them this many standard deviations of the sum are kept free, that
    /// is the root of the summed variances. Right as far as the transfers vary independently.
    Summed {
        /// Standard deviations of the sum kept free.
        deviations: f64,
    },
}

/// Standard deviations of the sum kept free by default.
const DEFAULT_DEVIATIONS: f64 = 4.0;

impl Default for LinkRule {
    fn default() -> Self {
        Self::Summed {
            deviations: DEFAULT_DEVIATIONS,
        }
    }
}

/// Admits transfers as long as a link is not expected to be overrun.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    /// Rate of the link in bytes a second.
    pub capacity_bytes_per_s: f64,
    rule: LinkRule,
    mean_bytes_per_s: f64,
    deviation_bytes_per_s: f64,
    variance: f64,
    flows_count: u32,
}

impl LinkBudget {
    /// A link without transfers.
    #[must_use]
    pub fn new(capacity_bytes_per_s: f64, rule: LinkRule) -> Self {
        Self {
            capacity_bytes_per_s,
            rule,
            mean_bytes_per_s: 0.0,
            deviation_bytes_per_s: 0.0,
            variance: 0.0,
            flows_count: 0,
        }
    }

    /// Admits a transfer if the link has room for it. An idle link admits any transfer.
    pub fn try_admit(&mut self, flow: Flow) -> bool {
        let mut with_flow = self.clone();
        with_flow.add(flow, 1.0);
        if self.flows_count > 0 && with_flow.used_bytes_per_s() > self.capacity_bytes_per_s {
            return false;
        }
        with_flow.flows_count += 1;
        *self = with_flow;
        true
    }

    /// Gives back the room of an admitted transfer, after it has ended.
    pub fn release(&mut self, flow: Flow) {
        self.flows_count = self.flows_count.saturating_sub(1);
        if self.flows_count == 0 {
            *self = Self::new(self.capacity_bytes_per_s, self.rule);
            return;
        }
        self.add(flow, -1.0);
    }

    /// Rate that counts as used, in bytes a second.
    #[must_use]
    pub fn used_bytes_per_s(&self) -> f64 {
        let kept_free = match self.rule {
            LinkRule::Reserved { deviations } => deviations * self.deviation_bytes_per_s,
            LinkRule::Summed { deviations } => deviations * self.variance.max(0.0).sqrt(),
        };
        self.mean_bytes_per_s + kept_free
    }

    /// Transfers under way.
    #[must_use]
    pub fn flows_count(&self) -> u32 {
        self.flows_count
    }

    fn add(&mut self, flow: Flow, sign: f64) {
        self.mean_bytes_per_s += sign * flow.mean_bytes_per_s;
        self.deviation_bytes_per_s += sign * flow.deviation_bytes_per_s;
        self.variance += sign * flow.deviation_bytes_per_s.powi(2);
    }
}
