//! How the work of a priority class is divided among client accounts.

use {
    crate::decayed_sum::DecayedSum,
    std::{collections::HashMap, time::Duration},
};

/// Number of accounts from which on those without recent work are removed before another is added.
const MAX_ACCOUNTS_COUNT: usize = 256;
/// Work, in tokens, below which an account counts as idle.
const MIN_ACTIVE_TOKENS: f64 = 1.0;

/// Recent work of each client account at this instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountShares {
    /// Tokens of the calls sent to targets.
    tokens_by_account: HashMap<String, DecayedSum>,
}

impl AccountShares {
    /// Records that a call of `account` runs.
    pub(crate) fn record(&mut self, account: &str, work_tokens: f64, now: Duration) {
        if let Some(tokens) = self.tokens_by_account.get_mut(account) {
            tokens.add(work_tokens, now);
            return;
        }
        if self.tokens_by_account.len() >= MAX_ACCOUNTS_COUNT {
            let is_active = |tokens: &DecayedSum| tokens.value(now) >= MIN_ACTIVE_TOKENS;
            self.tokens_by_account.retain(|_, tokens| is_active(tokens));
        }
        let tokens = self.tokens_by_account.entry(account.to_owned());
        tokens.or_default().add(work_tokens, now);
    }

    /// Work of `account` relative to the mean of the active accounts; 1 if it is the only one.
    pub(crate) fn relative_use(&self, account: &str, now: Duration) -> f64 {
        let tokens = |it: &DecayedSum| it.value(now);
        let used = self.tokens_by_account.values().map(tokens);
        let used = used.filter(|it| *it >= MIN_ACTIVE_TOKENS);
        let (count, total) = used.fold((0.0, 0.0), |(count, sum), it| (count + 1.0, sum + it));
        let own = self.tokens_by_account.get(account).map_or(0.0, tokens);
        if total > 0.0 {
            own * count / total
        } else {
            1.0
        }
    }
}
