//! A request handler without other instances, and what its catalog holds at least.

use {
    admission::Limits,
    catalog::{Catalog, ClientAccount, Labels, Objective, PlacementRule, Selector},
    configuration::{Follower, FollowerSettings, Snapshot},
    decision::RecordBufferLimits,
    fleet::Fleet,
    idempotency::{ClaimSettings, Claims},
    keyvalue::MemoryKv,
    serving::{
        AdmissionQueue, DecisionRecords, HandlerState, NoPeers, RequestHandler, ServingSettings,
        SharedDirectory,
    },
    std::{sync::Arc, time::Duration},
    target::{Client, ClientSettings},
};

/// The client account of [`catalog`].
pub const ACCOUNT: &str = "bakery";

/// A catalog with one client account that may use everything.
pub fn catalog() -> Catalog {
    let mut catalog = Catalog {
        revision: 1,
        ..Catalog::default()
    };
    let rule = PlacementRule {
        name: "all".to_owned(),
        labels: Labels::new(),
        precedence: 0,
        client_accounts: Selector::default(),
        model_versions: Selector::default(),
        targets: Selector::default(),
        stores: Selector::default(),
        priority: 0,
        objective: Objective::default(),
    };
    let account = ClientAccount {
        name: ACCOUNT.to_owned(),
        labels: Labels::new(),
        key_digests: Vec::new(),
        max_running_count: 8,
        tokens_per_s: 1_000,
        weight: 1,
    };
    catalog.placement_rules.insert("all".to_owned(), rule);
    catalog.client_accounts.insert(ACCOUNT.to_owned(), account);
    catalog
}

/// A handler with this catalog in force, whose claims are held at `kv` by the instance `b`.
pub fn handler(catalog: Catalog, kv: MemoryKv) -> RequestHandler<MemoryKv, NoPeers> {
    let fleet = Fleet::default();
    fleet.sync(&catalog);
    let configuration = Follower::new(kv.clone(), FollowerSettings::default()).handle();
    let snapshot = Snapshot {
        catalog: Arc::new(catalog),
        as_of: 1,
        ..Snapshot::default()
    };
    assert!(configuration.offer(snapshot, Duration::ZERO));
    RequestHandler::new(HandlerState {
        settings: ServingSettings::default(),
        configuration,
        fleet: Arc::new(fleet),
        directory: SharedDirectory::default(),
        records: DecisionRecords::new(RecordBufferLimits::default()),
        claims: Claims::new(kv, ClaimSettings::new("b".to_owned())),
        admission: AdmissionQueue::new(Limits::default()),
        client: Client::new(ClientSettings::default()),
        peers: NoPeers,
    })
}
