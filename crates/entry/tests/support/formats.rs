//! A minimal `Platform` implementation for the tests.

use {
    bytes::Bytes,
    entry::{
        AddressQuery, HeldPart, Item, ItemError, ItemName, OrderOutcome, PartChange, PartEvents,
        PartList, Platform, TargetRegistration, TargetReport, VersionOrder,
    },
    http_body_util::Full,
    hyper::{HeaderMap, Request, header::CONTENT_TYPE, http::request},
    relay::{
        BadCall, Call, HeaderFormat, LoadedModel, OutboundMetadata, Part, Prompt, ReplyMetadata,
        RetryAfter, Stated, TargetState, TargetStatements,
    },
    routes::{
        Account, EngineProperties, Homes, Pool, PoolKind, RetryPolicy, Route, RouteConfig,
        StoreProperties,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    target::IncarnationProbe,
};

/// Plain-text formats. The keys are `operators/configuration` (value: a version, and `cold=` with the calls
/// per second of a cold target or the addresses of stores of cached parts), `operators/version/MODEL` (a
/// version) and `targets/NAME` (`ADDRESS VERSION`, and the version of its software, its start time, `leaving`
/// or `-`, its number of places, its failure domain, and `cold_ms=` with the milliseconds for which it stays
/// cold, if there are any).
#[derive(Clone, Debug, Default)]
pub struct Formats {
    /// Address at which the instance finds every target in place of its own, while it is cut off.
    pub unreachable: Arc<Mutex<Option<SocketAddr>>>,
    /// Name of the instance, which targets are told.
    pub instance: String,
}

/// Ids of the parts of a prompt, from the header `parts`.
pub fn prompt_parts(headers: &HeaderMap) -> Option<Vec<String>> {
    let parts = headers.get("parts")?.to_str().ok()?;
    Some(parts.split(',').map(str::to_owned).collect())
}

/// Routes of host `a.example` to the pool `pool`, all but `accounts` public, and one of host
/// `homes.example` with the home `home`.
fn routes() -> Vec<Route> {
    let route = |name: &str, prefix: &str| {
        Route::new(name, "a.example", prefix)
            .retry_policy(RetryPolicy::Idempotent)
            .public(true)
            .pool("pool")
    };
    vec![
        route("all", "/"),
        route("slow", "/slow/"),
        route("retried", "/retried/").max_attempts(2),
        route("once", "/once/").retry_policy(RetryPolicy::AtMostOnce),
        route("accounts", "/accounts/")
            .retry_policy(RetryPolicy::AtMostOnce)
            .public(false),
        route("prompts", "/prompts/").retry_policy(RetryPolicy::ResumableStream),
        Route::new("homes", "homes.example", "/").homes(Homes::new(["home".to_owned()])),
    ]
}

/// The pool of all targets if they are `engines`, otherwise a pool of the store at this address.
fn declared_pool(text: &str) -> Pool {
    if text != "engines" {
        return store_pool(text);
    }
    Pool {
        name: "pool".to_owned(),
        kind: PoolKind::Engine(EngineProperties::default()),
        ..Pool::default()
    }
}

/// A pool with one store of cached parts.
fn store_pool(address: &str) -> Pool {
    Pool {
        name: format!("store {address}"),
        kind: PoolKind::Store(StoreProperties {
            address: address.parse().unwrap(),
            failure_domain: "a".to_owned(),
            capacity_tokens: 1_000_000,
            link_bits_per_s: 1e12,
            transfer_latency: Duration::ZERO,
            managed: true,
        }),
        ..Pool::default()
    }
}

/// The pool of the targets, which bear `calls_per_s` while they are cold.
fn cold_pool(calls_per_s: &str) -> Pool {
    Pool {
        name: "pool".to_owned(),
        cold_calls_per_s: Some(calls_per_s.parse().unwrap()),
        ..Pool::default()
    }
}

/// A part of a prompt, written `ID` or `ID:TOKENS`.
fn parse_part(text: &str) -> Part {
    let (id, tokens) = text.split_once(':').unwrap_or((text, "1"));
    Part {
        id: id.to_owned(),
        tokens: tokens.parse().unwrap(),
    }
}

/// A change at a store, written `SIGN SALT ID TOKENS`.
fn parse_change(line: &str) -> PartChange {
    let fields: Vec<&str> = line.split(' ').collect();
    PartChange {
        added: fields[0] == "+",
        part: HeldPart {
            salt: fields[1].to_owned(),
            id: fields[2].to_owned(),
            tokens: fields[3].parse().unwrap(),
            model: "m".to_owned(),
        },
    }
}

/// Client accounts, each with one key.
fn accounts() -> Vec<Account> {
    let account = |name: &str, key: &str| Account {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        ..Account::default()
    };
    vec![account("one", "sound-key"), account("two", "deadly-key")]
}

impl HeaderFormat for Formats {
    fn parse_call(&self, head: &request::Parts) -> Result<Call, BadCall> {
        let text = |name: &str| head.headers.get(name).and_then(|it| it.to_str().ok());
        let prompt = prompt_parts(&head.headers).map(|ids| Prompt {
            model: "m".to_owned(),
            parts: ids.iter().map(|text| parse_part(text)).collect(),
            ..Prompt::default()
        });
        Ok(Call {
            id: text("id").unwrap_or_default().to_owned(),
            key: text("key").map(str::to_owned),
            prompt,
            last_event_id: text("last-event-id").and_then(|it| it.parse().ok()),
            resumes: text("resumes").map(str::to_owned),
            ..Call::default()
        })
    }

    fn incarnation_probe(&self, _: &TargetState, _: &str) -> Option<IncarnationProbe> {
        None
    }

    fn target_headers(&self, headers: &HeaderMap, metadata: &OutboundMetadata) -> HeaderMap {
        let mut out = headers.clone();
        out.insert("target", metadata.target.parse().unwrap());
        out.insert("sender", self.instance.parse().unwrap());
        if let Some(place) = metadata.fetch_from.iter().flatten().next() {
            out.insert("fetch", place.to_string().parse().unwrap());
        }
        out
    }

    fn peer_headers(&self, headers: &HeaderMap, _time_left: Duration) -> HeaderMap {
        let mut out = headers.clone();
        out.remove("connection");
        out
    }

    fn parse_reply(&self, headers: &HeaderMap) -> ReplyMetadata {
        let text = |name: &str| headers.get(name).and_then(|it| it.to_str().ok());
        let seconds = |text: &str| Duration::from_secs_f64(text.parse().unwrap());
        ReplyMetadata {
            // Only the relay's own answers have a content type.
            has_proof: !headers.contains_key(CONTENT_TYPE),
            not_run: text("not-run").is_some(),
            statements: TargetStatements {
                is_leaving: text("leaving").map(|it| Stated::Valid(it == "1")),
                retry_after: text("retry-after")
                    .map(|it| Stated::Valid(RetryAfter::Delay(seconds(it)))),
                limit_per_s: text("limit").map(|it| Stated::Valid(it.parse().unwrap())),
                max_refusals_per_s: text("max-refusals")
                    .map(|it| Stated::Valid(it.parse().unwrap())),
                ..TargetStatements::default()
            },
            ..ReplyMetadata::default()
        }
    }

    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap {
        headers.clone()
    }
}

impl Platform for Formats {
    fn watched_prefix(&self) -> &'static str {
        ""
    }

    fn parse_key(&self, key: &str) -> Option<ItemName> {
        if key == "operators/configuration" {
            return Some(ItemName::Configuration);
        }
        if let Some(model) = key.strip_prefix("operators/version/") {
            return Some(ItemName::Version(model.to_owned()));
        }
        if let Some(domain) = key.strip_prefix("operators/evacuate/") {
            return Some(ItemName::Evacuation(domain.to_owned()));
        }
        let target = key.strip_prefix("targets/")?;
        Some(ItemName::Target(target.to_owned()))
    }

    fn parse_item(&self, name: &ItemName, _key: &str, value: &[u8]) -> Result<Item, ItemError> {
        let text = std::str::from_utf8(value).unwrap();
        Ok(match name {
            ItemName::Configuration => {
                let mut fields = text.split(' ');
                let version = fields.next().unwrap().parse().unwrap();
                let mut config = RouteConfig::default().version(version);
                config = config.routes(routes()).accounts(accounts());
                let pools = fields.map(|field| match field.strip_prefix("cold=") {
                    Some(calls_per_s) => cold_pool(calls_per_s),
                    None => declared_pool(field),
                });
                for pool in pools {
                    config.pools.insert(pool.name.clone(), pool);
                }
                Item::Configuration(Box::new(config))
            }
            ItemName::Version(_) => Item::Version(text.parse().unwrap()),
            ItemName::Evacuation(_) => Item::Evacuation,
            _ => {
                let mut fields = text.split(' ');
                let (address, version) = (fields.next().unwrap(), fields.next().unwrap());
                let unreachable = *self.unreachable.lock().unwrap();
                let address = unreachable.unwrap_or_else(|| address.parse().unwrap());
                let mut entry = TargetRegistration::new("pool", address);
                entry.models = vec![LoadedModel {
                    model: "m".to_owned(),
                    version: version.parse().unwrap(),
                }];
                let software = fields.next().unwrap_or_default();
                software.clone_into(&mut entry.software_version);
                entry.started_unix_ms = fields.next().map_or(0, |it| it.parse().unwrap());
                entry.leaving = fields.next() == Some("leaving");
                if let Some(slots_count) = fields.next() {
                    entry.slots_count = slots_count.parse().unwrap();
                }
                for field in fields {
                    match field.strip_prefix("cold_ms=") {
                        Some(cold_ms) => {
                            entry.cold_left = Duration::from_millis(cold_ms.parse().unwrap());
                        }
                        None => field.clone_into(&mut entry.failure_domain),
                    }
                }
                Item::Target(entry)
            }
        })
    }

    fn is_readiness_path(&self, path: &str) -> bool {
        path == "/ready"
    }

    fn is_addresses_path(&self, path: &str) -> bool {
        path == "/addresses"
    }

    /// Takes a query `HOST,REGION`.
    fn parse_address_query(&self, query: &str) -> AddressQuery {
        let (host, region) = query.split_once(',').unwrap_or_default();
        AddressQuery {
            host: host.to_owned(),
            region: region.to_owned(),
        }
    }

    fn addresses_body(&self, addresses: &[SocketAddr], _max_age: Duration) -> Bytes {
        let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        texts.join(" ").into()
    }

    fn report_request(&self) -> Request<Full<Bytes>> {
        Request::get("/report").body(Full::default()).unwrap()
    }

    fn parse_report(&self, body: &[u8]) -> Option<TargetReport> {
        let text = std::str::from_utf8(body).ok()?;
        let fields: Vec<&str> = text.split(' ').collect();
        Some(TargetReport {
            models: vec![LoadedModel {
                model: "m".to_owned(),
                version: fields.first()?.parse().ok()?,
            }],
            busy: fields.get(1).is_some_and(|it| *it == "true"),
            accepted_orders_count: fields.get(2).and_then(|it| it.parse().ok()).unwrap_or(0),
            ..TargetReport::default()
        })
    }

    fn events_request(&self, since: u64, _wait: Duration) -> Request<Full<Bytes>> {
        let request = Request::get("/events").header("since", since);
        request.body(Full::default()).unwrap()
    }

    fn parse_events(&self, body: &[u8]) -> Option<PartEvents> {
        let mut lines = std::str::from_utf8(body).ok()?.lines();
        let mut fields = lines.next()?.split(' ');
        Some(PartEvents {
            next_seq: fields.next()?.parse().ok()?,
            clock: Some(Duration::from_millis(fields.next()?.parse().ok()?)),
            has_gap: fields.next() == Some("gap"),
            changes: lines
                .filter(|line| !line.starts_with('='))
                .map(parse_change)
                .collect(),
            ..PartEvents::default()
        })
    }

    fn free_request(&self, parts: &[HeldPart], _start: u64) -> Request<Full<Bytes>> {
        let lines = parts
            .iter()
            .map(|part| format!("{} {}\n", part.salt, part.id));
        let body: String = lines.collect();
        Request::post("/free").body(Full::from(body)).unwrap()
    }

    fn list_request(&self) -> Request<Full<Bytes>> {
        Request::get("/list").body(Full::default()).unwrap()
    }

    /// Takes the lines that begin with `=`. As on the platform, events read as a list without parts, and a
    /// list as no events.
    fn parse_list(&self, body: &[u8]) -> Option<PartList> {
        let mut lines = std::str::from_utf8(body).ok()?.lines();
        let (next_seq, _) = lines.next()?.split_once(' ')?;
        let parts = lines.filter(|line| line.starts_with('='));
        Some(PartList {
            next_seq: next_seq.parse().ok()?,
            parts: parts.map(|line| parse_change(line).part).collect(),
            ..PartList::default()
        })
    }

    fn order_request(&self, order: &VersionOrder) -> Request<Full<Bytes>> {
        let path = format!(
            "/order/{}/{}/{}/{}",
            order.holder, order.fencing, order.version, order.accepted_orders_count
        );
        Request::post(path).body(Full::default()).unwrap()
    }

    fn order_outcome(&self, status: u16) -> OrderOutcome {
        match status {
            200 => OrderOutcome::Holds,
            202 => OrderOutcome::Accepted,
            409 => OrderOutcome::Conflict,
            _ => OrderOutcome::Unknown,
        }
    }
}
