//! Two block keys are equal exactly if client account, version and text up to the block are equal.

use {
    prefix::{BlockKey, block_keys},
    proptest::prelude::*,
    std::collections::BTreeMap,
};

const PIECE_BYTES: u32 = 3;

fn keys(account: &str, digest: &str, prompt: &[u8]) -> Vec<BlockKey> {
    block_keys(&account.to_owned(), &digest.to_owned(), prompt, PIECE_BYTES)
}

#[test]
fn boundary_between_account_and_digest_changes_the_key() {
    assert_ne!(keys("ab", "c", b"prompt"), keys("a", "bc", b"prompt"));
}

#[test]
fn piece_size_of_zero_gives_no_keys() {
    assert!(block_keys(&"a".to_owned(), &"b".to_owned(), b"prompt", 0).is_empty());
}

proptest! {
    #[test]
    fn equal_keys_mean_equal_origin(
        left in ("[ab]{1,2}", "[01]{1,2}", "[xy]{0,9}"),
        right in ("[ab]{1,2}", "[01]{1,2}", "[xy]{0,9}"),
    ) {
        let mut origins: BTreeMap<BlockKey, (String, String, String)> = BTreeMap::new();
        for (account, digest, prompt) in [left, right] {
            for (index, key) in keys(&account, &digest, prompt.as_bytes()).into_iter().enumerate() {
                let text = prompt[..(index + 1) * PIECE_BYTES as usize].to_owned();
                let origin = (account.clone(), digest.clone(), text);
                let known = origins.entry(key).or_insert_with(|| origin.clone());
                prop_assert_eq!(&*known, &origin);
            }
        }
    }

    #[test]
    fn a_longer_prompt_keeps_the_keys_of_its_start(
        start in proptest::collection::vec(any::<u8>(), 0..40),
        rest in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let whole: Vec<u8> = start.iter().chain(&rest).copied().collect();
        let (short, long) = (keys("a", "1", &start), keys("a", "1", &whole));
        prop_assert_eq!(&long[..short.len()], &short[..]);
        prop_assert_eq!(long.len(), whole.len() / PIECE_BYTES as usize);
    }
}
