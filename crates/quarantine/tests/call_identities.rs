//! Keys of calls that come again.

use quarantine::CallIdentity;

const ORDER: CallIdentity<'_> = CallIdentity {
    method: "POST",
    host: "a.example",
    path: "/orders/?day=1",
    account: "chain",
    parts: &[1, 2],
    body: b"one slab",
};

#[test]
fn call_that_comes_again_has_the_same_key() {
    assert_eq!(ORDER.key(), CallIdentity { ..ORDER }.key());
}

#[test]
fn calls_that_differ_anywhere_have_other_keys() {
    let others = [
        CallIdentity {
            method: "PUT",
            ..ORDER
        },
        CallIdentity {
            host: "b.example",
            ..ORDER
        },
        CallIdentity {
            path: "/orders/?day=2",
            ..ORDER
        },
        CallIdentity {
            account: "other",
            ..ORDER
        },
        CallIdentity {
            parts: &[1],
            ..ORDER
        },
        CallIdentity {
            body: b"two slabs",
            ..ORDER
        },
        CallIdentity {
            path: "/orders/?day=1c",
            account: "hain",
            ..ORDER
        },
        CallIdentity {
            account: "chainone",
            body: b" slab",
            ..ORDER
        },
    ];
    for other in others {
        assert_ne!(other.key(), ORDER.key(), "{other:?}");
    }
}
