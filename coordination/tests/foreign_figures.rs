//! Guards against a figure of one sidecar, relay or engine that ends the thread by which all
//! requests are decided, or a sidecar's own decisions.

mod dispatch_fixture;

use {
    chalkcart_coordination::dispatch::{Decision, DispatchEvent, DueDemands, SendOutcome},
    chalkcart_protocol::peer::{AdmissionResponse, EngineStats, EngineView, KnownEntries},
    dispatch_fixture::*,
    quickcheck::{Arbitrary, Gen},
};

const SEED: u64 = 93;
const CASES: usize = 300;

fn any_u32(g: &mut Gen) -> u32 {
    let edges = [0, 1, 2, u32::MAX, u32::MAX - 1, 1 << 31, 1 << 16];
    match bool::arbitrary(g) {
        true => g.choose(&edges).copied().unwrap_or(0),
        false => u32::arbitrary(g),
    }
}

fn any_u64(g: &mut Gen) -> u64 {
    let edges = [0, 1, u64::MAX, u64::MAX - 1, 1 << 63, 1 << 32];
    match bool::arbitrary(g) {
        true => g.choose(&edges).copied().unwrap_or(0),
        false => u64::arbitrary(g),
    }
}

fn any_optional(g: &mut Gen) -> Option<u32> {
    bool::arbitrary(g).then(|| any_u32(g))
}

fn any_stats(g: &mut Gen) -> EngineStats {
    EngineStats {
        fence: any_u64(g),
        next_load_ms: any_u32(g),
        next_return_ms: any_u32(g),
        spare_slots: any_u32(g),
        running: any_u32(g),
        queued: any_u32(g),
        reading: any_u32(g),
        kv_used: any_u64(g),
        kv_total: any_u64(g),
        entries: any_u32(g),
        readers: any_u32(g),
        age_ms: any_u32(g),
        is_down: Option::arbitrary(g),
        is_leaving: bool::arbitrary(g),
        limit_milli_per_s: any_optional(g),
        cold_left_ms: u16::arbitrary(g),
        prefill_tokens_per_s: any_optional(g),
        event_interval_us: any_optional(g),
        prefill_tokens: any_optional(g),
        known_entries: KnownEntries {
            entries: any_u32(g),
            age_s: any_u32(g),
        },
    }
}

fn any_view(g: &mut Gen, name: &str) -> EngineView {
    EngineView {
        figures: any_stats(g),
        lately: vec![any_u64(g)],
        ..view(name, &[("a", any_u64(g))])
    }
}

/// Sends requests and lets time pass; returns how many were sent to a sound engine.
fn served_by_sound(fixture: &mut Fixture, g: &mut Gen, case: u64) -> usize {
    let mut served = 0;
    for number in 0..8 {
        let ticket = case * 1_000 + number;
        let mut request = fixture.new_request(ENGINES, Some("a"));
        request.target_gap = bool::arbitrary(g).then(|| ms(100));
        request.expected_output_tokens = u32::from(u8::arbitrary(g));
        let mut decisions = fixture.submit(ticket, request);
        for _ in 0..8 {
            decisions.extend(fixture.advance(ms(50)));
        }
        for (sent, decision) in decisions {
            if let Decision::Send(assignment) = decision {
                served += usize::from(assignment.backend.name != "engines-3");
                fixture.end(sent, SendOutcome::Answered);
            }
        }
        fixture.dispatcher.demands(DueDemands::All, fixture.now);
        fixture.dispatcher.permit_queries(fixture.now);
        fixture.dispatcher.measured_engines();
        fixture.dispatcher.budget_usages(fixture.now);
    }
    served
}

/// Guards against any figures in the report of one engine of three that end the decisions, or that
/// keep requests from the two others.
#[test]
fn any_figures_of_one_engine_end_no_decision() {
    let mut g = Gen::from_size_and_seed(20, SEED);
    for case in 0..CASES as u64 {
        let mut fixture = Fixture::new(engines());
        for number in 1..=2 {
            fixture.view(number, view(&format!("{ENGINES}-{number}"), &[("a", 1)]));
        }
        fixture.view(3, any_view(&mut g, "engines-3"));
        let stats = any_stats(&mut g);
        fixture.handle(DispatchEvent::StatsReceived {
            backend: "engines-3".into(),
            stats,
        });
        let response = AdmissionResponse {
            backend: "engines-3".into(),
            limit_milli_per_s: any_optional(&mut g),
            freed_ago_ms: any_optional(&mut g),
            granted: any_u32(&mut g),
            next_ms: any_u32(&mut g),
        };
        fixture.handle(DispatchEvent::PermitsReceived {
            backend: "engines-3".into(),
            requested_at: fixture.now,
            response: Ok(response),
        });
        let served = served_by_sound(&mut fixture, &mut g, case);
        assert!(
            served > 0 || stats.known_entries.entries > 0,
            "case {case}: {stats:?}"
        );
    }
}
