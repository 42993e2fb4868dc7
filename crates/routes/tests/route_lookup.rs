//! Lookup of the route and client account of a call, and weighted choice of a pool.

use {
    proptest::prelude::{any, proptest},
    routes::{Account, PoolShare, Route, RouteConfig, RouteTable},
};

fn table() -> RouteTable {
    let routes = vec![
        Route::new("all", "a.example", "/"),
        Route::new("orders", "a.example", "/orders/"),
        Route::new("late", "a.example", "/orders/late/"),
        Route::new("other", "b.example", "/orders/"),
    ];
    let account = Account {
        name: "chain".to_owned(),
        keys: vec!["k1".to_owned(), "k2".to_owned()],
        ..Account::default()
    };
    RouteTable::new(
        RouteConfig::default()
            .routes(routes)
            .accounts(vec![account]),
    )
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let table = table();
    let name = |host, path| table.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/orders/late/3").as_deref(), Some("late"));
    assert_eq!(
        name("A.Example:80", "/orders/late").as_deref(),
        Some("orders")
    );
    assert_eq!(name("a.example", "/x").as_deref(), Some("all"));
    assert_eq!(name("b.example", "/x"), None);
    assert_eq!(name("c.example", "/orders/"), None);
}

#[test]
fn each_key_of_an_account_finds_the_account() {
    let table = table();
    assert_eq!(
        table.account("k2").map(|it| it.name.as_str()),
        Some("chain")
    );
    assert!(table.account("k3").is_none());
    assert!(table.account("").is_none());
}

/// Guards against opening the routes to everybody once the last account or key is taken away.
#[test]
fn configuration_with_an_empty_list_of_accounts_needs_keys() {
    let keyless = RouteConfig::default();
    assert_eq!(keyless.keys_count(), None);
    assert!(!RouteTable::new(keyless).needs_keys());
    let without_keys = Account {
        name: "chain".to_owned(),
        ..Account::default()
    };
    for accounts in [vec![], vec![without_keys]] {
        let config = RouteConfig::default().accounts(accounts);
        assert_eq!(config.keys_count(), Some(0));
        let table = RouteTable::new(config);
        assert!(table.needs_keys());
        assert!(table.account("").is_none());
        assert!(table.account("k1").is_none());
    }
}

/// Guards against one account's calls counting as another's.
#[test]
fn key_of_two_accounts_identifies_neither() {
    let account = |name: &str, keys: &[&str]| Account {
        name: name.to_owned(),
        keys: keys.iter().map(ToString::to_string).collect(),
        ..Account::default()
    };
    let accounts = vec![
        account("chain", &["k1", "k1", "shared"]),
        account("shop", &["shared", "k2"]),
        account("mill", &["shared"]),
    ];
    let table = RouteTable::new(RouteConfig::default().accounts(accounts));
    let name = |key| table.account(key).map(|account| account.name.as_str());
    assert_eq!(
        name("k1"),
        Some("chain"),
        "the same account twice is no conflict"
    );
    assert_eq!(name("k2"), Some("shop"));
    assert_eq!(name("shared"), None);
}

proptest! {
    #[test]
    fn pool_with_weight_zero_is_never_drawn(random in any::<u64>(), weight in 0_u32..9) {
        let mut route = Route::new("r", "h", "/").pool("used");
        route.shares.insert(0, PoolShare { pool: "unused".to_owned(), weight: 0 });
        route.shares[1].weight = weight;
        let drawn = route.draw_pool(random).map(String::as_str);
        assert_eq!(drawn, (weight > 0).then_some("used"));
    }
}
