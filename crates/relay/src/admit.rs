//! Which route and account a call belongs to.

use {
    crate::{Call, Reason, Refusal, View},
    hyper::{header::HOST, http::request},
    routes::{Account, Route, RouteTable},
    std::{sync::Arc, time::Duration},
};

/// A configuration that was confirmed longer ago refuses no call as unknown: the route or key may
/// have been added since.
const MAX_CONFIG_AGE: Duration = Duration::from_secs(3);
/// When to come back if the configuration is not known yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A call that may be passed on.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    /// Configuration that decided.
    pub(crate) table: Arc<RouteTable>,
    /// What the call says of itself.
    pub(crate) call: Call,
    /// Its route.
    pub(crate) route: Route,
    /// Its client account, if the route needs one.
    pub(crate) account: Option<Account>,
}

/// Finds route and account of a call.
pub(crate) fn admit(view: &View, head: &request::Parts, call: Call) -> Result<Admitted, Refusal> {
    let not_ready = Refusal::new(Reason::NotReady).retry_after(NOT_READY_RETRY_AFTER);
    let table = view.route_table.clone().ok_or(not_ready)?;
    let refuse_unknown = |reason| {
        let is_current = view.age() <= MAX_CONFIG_AGE;
        if is_current {
            Refusal::new(reason)
        } else {
            not_ready
        }
    };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let route = table.route(host, head.uri.path());
    let route = route
        .ok_or_else(|| refuse_unknown(Reason::NoRoute))?
        .clone();
    let account = if route.public || !table.has_accounts() {
        None
    } else {
        let account = call.key.as_deref().and_then(|key| table.account(key));
        Some(
            account
                .ok_or_else(|| refuse_unknown(Reason::NoAccount))?
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
