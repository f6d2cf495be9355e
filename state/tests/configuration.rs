//! Configuration documents: validation, compact tables and planned changes.

use {
    chalkcart_state::{
        config::{
            digest_of, shard_index, Adapter, AdapterVersion, Change, Class, ConfigError,
            Configuration, Group, Policy, Root, Shard, ShardTable,
        },
        ids::WeightsDigest,
    },
    quickcheck::{Gen, QuickCheck},
    std::{collections::BTreeMap, sync::Arc},
};

const SEED: u64 = 3;
const SHARDS: usize = 4;

/// Builds a shard with an adapter for each byte, spread over a few groups.
fn shard_of(names: &[u8]) -> Shard {
    let adapters: BTreeMap<String, Adapter> = names
        .iter()
        .map(|n| {
            let adapter = Adapter {
                name: "x".repeat(usize::from(n % 5)) + &n.to_string(),
                group: format!("group-{}", n % 3),
                base_model: format!("base-{}", n % 2),
                versions: (1..=1 + u32::from(n % 3)).map(version).collect(),
            };
            (adapter.name.clone(), adapter)
        })
        .collect();
    Shard {
        adapters: adapters.into_values().collect(),
    }
}

fn version(version: u32) -> AdapterVersion {
    AdapterVersion {
        version,
        digest: WeightsDigest::of(&version.to_be_bytes()),
    }
}

#[test]
fn shard_tables_round_trip_and_find_each_adapter() {
    fn holds(names: Vec<u8>) -> bool {
        let shard = shard_of(&names);
        let table = ShardTable::from(&shard);
        let found = shard.adapters.iter().all(|adapter| {
            let row = table.find(&adapter.name);
            row.is_some_and(|r| r.group == adapter.group && r.versions == adapter.versions)
        });
        found && table.to_shard() == shard && table.find("no such adapter").is_none()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

fn valid_documents() -> (Root, Vec<Shard>) {
    let name = "loan-1".to_string();
    let mut shards = vec![Shard::default(); SHARDS];
    shards[shard_index(&name, SHARDS)].adapters.push(Adapter {
        name,
        group: "branches".to_string(),
        base_model: "base".to_string(),
        versions: vec![version(1)],
    });
    let root = Root {
        generation: 1,
        groups: vec![Group {
            name: "branches".to_string(),
            share: 1,
        }],
        classes: vec![Class {
            name: "counter".to_string(),
            priority: 0,
            timeout_ms: 1,
            age_after_ms: 1,
            stall_cost: 1,
        }],
        base_models: vec!["base".to_string()],
        services: Vec::new(),
        policy: Policy::default(),
        shards: shards.iter().map(digest_of).collect(),
    };
    (root, shards)
}

fn configuration() -> Configuration {
    let (root, shards) = valid_documents();
    Configuration::new(Arc::new(root), shards).expect("is valid")
}

#[test]
fn invalid_documents_are_rejected() {
    type Corrupt = fn(&mut Root, &mut Vec<Shard>);
    let index = shard_index("loan-1", SHARDS);
    assert!(index < SHARDS);
    let cases: [(&str, Corrupt); 8] = [
        ("generation", |root, _| root.generation = 0),
        ("share", |root, _| root.groups[0].share = 0),
        ("group twice", |root, _| {
            root.groups.push(root.groups[0].clone())
        }),
        ("no class", |root, _| root.classes.clear()),
        ("group unknown", |root, _| {
            root.groups[0].name = "others".to_string()
        }),
        ("base model unknown", |root, _| root.base_models.clear()),
        ("digest", |root, _| root.shards[0] = "0".to_string()),
        ("too few shards", |_, shards| {
            shards.pop();
        }),
    ];
    for (case, corrupt) in cases {
        let (mut root, mut shards) = valid_documents();
        corrupt(&mut root, &mut shards);
        let built = Configuration::new(Arc::new(root), shards);
        assert!(built.is_err(), "{case}");
    }
}

#[test]
fn adapters_in_the_wrong_shard_or_order_are_rejected() {
    let (mut root, mut shards) = valid_documents();
    let index = shard_index("loan-1", SHARDS);
    let moved = shards[index].adapters.remove(0);
    shards[(index + 1) % SHARDS].adapters.push(moved);
    root.shards = shards.iter().map(digest_of).collect();
    assert!(
        Configuration::new(Arc::new(root), shards).is_err(),
        "another shard's adapter"
    );
    let (mut root, mut shards) = valid_documents();
    shards[index].adapters[0].versions = vec![version(2), version(1)];
    root.shards = shards.iter().map(digest_of).collect();
    assert!(
        Configuration::new(Arc::new(root), shards).is_err(),
        "descending versions"
    );
}

#[test]
fn changes_must_be_based_on_the_current_generation() {
    let cfg = configuration();
    let change = Change::AddVersion {
        adapter: "loan-1".to_string(),
        digest: WeightsDigest::of(b"2"),
    };
    let planned = cfg.plan_change(1, &change).expect("is planned");
    assert_eq!(planned.generation, 2);
    assert_eq!(planned.documents.len(), 2);
    assert_eq!(planned.documents[1].key, "root");
    let stale = cfg.plan_change(0, &change).expect_err("stale");
    assert_eq!(
        stale,
        ConfigError::StaleBase {
            base: 0,
            current: 1
        }
    );
}

#[test]
fn documents_of_planned_changes_are_valid() {
    let (text, digest) = (|t: &str| t.to_string(), WeightsDigest::of(b"9"));
    let changes = [
        Change::CreateGroup {
            group: text("new"),
            share: 3,
        },
        Change::SetShare {
            group: text("branches"),
            share: 7,
        },
        Change::RegisterAdapter {
            adapter: text("fresh"),
            group: text("branches"),
            base_model: text("base"),
            digest,
        },
        Change::AddVersion {
            adapter: text("loan-1"),
            digest,
        },
    ];
    let mut cfg = configuration();
    for change in changes {
        let planned = cfg
            .plan_change(cfg.generation(), &change)
            .expect("is planned");
        let mut changed = Vec::new();
        let mut root = None;
        for document in planned.documents {
            match document.key.strip_prefix("shard/") {
                Some(index) => {
                    let shard = serde_json::from_str(&document.content).expect("reads");
                    changed.push((index.parse().expect("a number"), shard));
                }
                None => root = Some(serde_json::from_str(&document.content).expect("reads")),
            }
        }
        let root = Arc::new(root.expect("a root"));
        cfg = cfg.advance(root, changed).expect("is valid");
    }
    assert_eq!(cfg.generation(), 5);
    assert_eq!(cfg.group("branches").map(|g| g.share), Some(7));
    assert!(cfg.resolve("fresh", 1).is_some());
    assert!(cfg.resolve("loan-1", 2).is_some());
    assert!(cfg.resolve("loan-1", 3).is_none());
}
