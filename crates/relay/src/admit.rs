//! Admission of calls: finds the route and authenticates the client account.

use {
    crate::{Call, Declined, Named, Reason, View},
    hyper::{header::HOST, http::request},
    routes::{Account, Homes, Route, RouteTable},
    std::{sync::Arc, time::Duration},
};

/// Retry delay for callers while the instance has no current configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Priority number of the least urgent calls.
const MAX_PRIORITY: u8 = 9;

/// An admitted call with its route and client account.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    /// Route table that admitted the call.
    pub(crate) table: Arc<RouteTable>,
    /// Metadata of the call.
    pub(crate) call: Call,
    /// Route of the call.
    pub(crate) route: Route,
    /// Client account of the caller; `None` if the call needs no key.
    pub(crate) account: Option<Account>,
}

impl Admitted {
    /// Time that the caller waits, or the time limit of the route if the caller states none.
    pub(crate) fn caller_time_limit(&self) -> Duration {
        self.call.time_limit.unwrap_or(self.route.time_limit)
    }

    /// Priority of the call: the account's, or else the route's.
    pub(crate) fn priority(&self) -> u8 {
        let account_priority = self.account.as_ref().and_then(|it| it.priority);
        let priority = account_priority.unwrap_or(self.route.priority);
        priority.min(MAX_PRIORITY)
    }

    /// Homes of the call, by the configuration that admitted it.
    pub(crate) fn homes(&self) -> Homes {
        Homes::of_call(&self.route, self.account.as_ref())
    }

    /// Time limit of the call: the shorter of the caller's and the route's.
    pub(crate) fn time_limit(&self) -> Duration {
        self.caller_time_limit().min(self.route.time_limit)
    }
}

/// Finds the route and the client account of a call.
///
/// # Errors
/// [`Reason::Absent`] if there is none; [`Reason::NotReady`] if the
/// instance has no configuration, or one that was not confirmed recently enough to reject the call.
pub(crate) fn admit(view: &View, head: &request::Parts, call: Call) -> Result<Admitted, Declined> {
    let not_ready = Declined::new(Reason::NotReady).retry_after(NOT_READY_RETRY_AFTER);
    let table = view.route_table.clone().ok_or(not_ready)?;
    let refuse_unknown = |named| {
        let absence = view.absence_of(named);
        absence.map_or(not_ready, |it| Reason::Absent(it).into())
    };
    let route = table.route(called_host(head), head.uri.path());
    let route = route.ok_or_else(|| refuse_unknown(Named::Route))?.clone();
    let account = if route.public || !table.needs_keys() {
        None
    } else {
        let account = call.key.as_deref().and_then(|key| table.account(key));
        Some(
            account
                .ok_or_else(|| refuse_unknown(Named::Account))?
                .clone(),
        )
    };
    Ok(Admitted {
        table,
        call,
        route,
        account,
    })
}

/// Host that a call is for; empty if it names none.
pub(crate) fn called_host(head: &request::Parts) -> &str {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host()).unwrap_or_default()
}
