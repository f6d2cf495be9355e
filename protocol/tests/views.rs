//! Receivers of a view stream must reconstruct the sender's view.

use {
    chalkcart_protocol::{
        decode, encode,
        peer::{EngineStats, EngineView, ViewUpdate},
    },
    chalkcart_state::backends::{AdapterRef, HeldAdapter},
    quickcheck::{Gen, QuickCheck},
};

const CASES: u64 = 300;
const SIZE: usize = 24;
const SEED: u64 = 7;

/// Incarnation, loaded adapters with versions, adapters being loaded, queue length.
type ViewNumbers = (u8, Vec<u8>, Vec<u8>, u8);

fn adapter(number: u8) -> AdapterRef {
    AdapterRef {
        model: "m".to_string(),
        adapter: format!("a{}", number % 8),
    }
}

/// Builds a view from a few numbers.
fn view((incarnation, held, loading, queued): ViewNumbers) -> EngineView {
    let held = held.iter().map(|n| HeldAdapter {
        adapter: adapter(*n),
        version: u64::from(n / 8 % 3),
    });
    let mut held: Vec<HeldAdapter> = held.collect();
    held.sort_by(|a, b| a.adapter.cmp(&b.adapter));
    held.dedup_by(|a, b| a.adapter == b.adapter);
    EngineView {
        backend: format!("b{}", incarnation % 2).into(),
        models: Vec::new(),
        held,
        loading: loading.iter().take(2).map(|n| adapter(*n)).collect(),
        lately: Vec::new(),
        figures: EngineStats {
            queued: u32::from(queued),
            ..EngineStats::default()
        },
    }
}

fn reconstructs_each_view(views: Vec<ViewNumbers>) -> bool {
    let mut before = EngineView::default();
    let mut received = EngineView::default();
    views.into_iter().map(view).all(|after| {
        let update = ViewUpdate::between(&before, &after);
        let sent: ViewUpdate = decode(&encode(&update).unwrap()).unwrap();
        received.apply(sent);
        before = after;
        received == before
    })
}

#[test]
fn receivers_reconstruct_the_view_from_updates() {
    let check: fn(Vec<ViewNumbers>) -> bool = reconstructs_each_view;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(CASES)
        .quickcheck(check);
}

#[test]
fn the_smallest_update_is_chosen() {
    type Change = fn(&mut EngineView);
    let cases: &[(&str, Change, &str)] = &[
        ("figures", |v| v.figures.queued = 9, "figures"),
        ("an adapter removed", |v| drop(v.held.pop()), "changed"),
        ("a newer version", |v| v.held[0].version = 9, "changed"),
        ("a load", |v| v.loading = vec![adapter(7)], "changed"),
        (
            "a base model",
            |v| v.models = vec!["m".to_string()],
            "whole",
        ),
        ("an incarnation", |v| v.backend = "new".into(), "whole"),
    ];
    for (name, change, expected) in cases {
        let before = view((0, vec![1, 2, 3], Vec::new(), 0));
        let mut after = before.clone();
        change(&mut after);
        let kind = match ViewUpdate::between(&before, &after) {
            ViewUpdate::Whole(_) => "whole",
            ViewUpdate::Changed(_) => "changed",
            ViewUpdate::Figures(_) => "figures",
            ViewUpdate::Unknown => "unknown",
        };
        assert_eq!(kind, *expected, "{name}");
    }
}
