//! Timeout for the start of an answer.

use std::time::Duration;

/// Limits the wait for the start of an answer. A [`Duration`] is a plain timeout.
pub trait StartTimeout {
    /// Called when the request begins to be sent.
    fn start(&self) {}

    /// How long to wait before [`StartTimeout::gives_up`] decides; asked anew before each wait.
    fn duration(&self) -> Duration;

    /// Whether to give up after a wait in which nothing came, rather than wait again.
    fn gives_up(&self) -> bool;
}

impl StartTimeout for Duration {
    fn duration(&self) -> Duration {
        *self
    }

    fn gives_up(&self) -> bool {
        true
    }
}

impl<Timeout> StartTimeout for &Timeout
where
    Timeout: StartTimeout,
{
    fn start(&self) {
        (**self).start();
    }

    fn duration(&self) -> Duration {
        (**self).duration()
    }

    fn gives_up(&self) -> bool {
        (**self).gives_up()
    }
}
