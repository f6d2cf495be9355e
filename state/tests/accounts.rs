//! API keys and client accounts.

use chalkcart_state::accounts::{
    AccountTable, ApiKeyDigest, ApiKeyError, ClientAccount, LimitUnit, RateLimit, MAX_KEY_BYTES,
};

fn digest(key: &str) -> ApiKeyDigest {
    ApiKeyDigest::of(key.as_bytes()).expect("a key")
}

fn account(name: &str) -> ClientAccount {
    ClientAccount::new(name, 1, None)
}

#[test]
fn invalid_keys_are_rejected_and_errors_do_not_contain_them() {
    let over_long = "k".repeat(MAX_KEY_BYTES + 1);
    let cases = [
        ("", ApiKeyError::Empty),
        ("two words", ApiKeyError::NotVisible),
        ("schlüssel", ApiKeyError::NotVisible),
        (over_long.as_str(), ApiKeyError::TooLong),
    ];
    for (key, expected) in cases {
        let rejected = ApiKeyDigest::of(key.as_bytes());
        assert_eq!(rejected, Err(expected), "{key}");
        assert!(key.is_empty() || !expected.to_string().contains(key));
    }
    assert!(ApiKeyDigest::of("k".repeat(MAX_KEY_BYTES).as_bytes()).is_ok());
}

#[test]
fn debug_output_contains_neither_keys_nor_digests() {
    let mut table = AccountTable::default();
    table.add(account("acme"), [digest("secret")]);
    let text = format!("{table:?}");
    assert!(
        text.contains("acme") && text.contains("ApiKeyDigest(..)"),
        "{text}"
    );
    assert!(!text.contains("secret"));
}

#[test]
fn keys_identify_their_account_and_are_case_sensitive() {
    let mut table = AccountTable::default();
    assert_eq!(table.add(account("acme"), [digest("k1"), digest("k2")]), []);
    for key in ["k1", "k2"] {
        let found = table.find(&digest(key)).expect("an account");
        assert_eq!(found.name, "acme");
    }
    assert_eq!(table.find(&digest("K1")), None);
}

#[test]
fn a_key_listed_by_two_accounts_identifies_neither() {
    let mut table = AccountTable::default();
    table.add(account("acme"), [digest("shared"), digest("own")]);
    let duplicates = table.add(account("bolt"), [digest("shared")]);
    assert_eq!(duplicates.len(), 1);
    table.add(account("core"), [digest("shared")]);
    assert_eq!(table.find(&digest("shared")), None);
    let own = table.find(&digest("own")).expect("an account");
    assert_eq!(own.name, "acme");
}

#[test]
fn requests_are_charged_in_the_unit_of_their_limit() {
    let limit = |unit| RateLimit {
        unit,
        per_s: 10.0,
        burst: 10.0,
    };
    let tokens = limit(LimitUnit::Tokens { plain: 200 });
    assert_eq!(tokens.charge(1_460, 80), 1_540);
    assert_eq!(tokens.charge(0, 0), 200);
    let max = u64::from(u32::MAX);
    assert_eq!(tokens.charge(u32::MAX, u32::MAX), 2 * max, "no overflow");
    assert_eq!(limit(LimitUnit::Requests).charge(1_460, 80), 1);
}
