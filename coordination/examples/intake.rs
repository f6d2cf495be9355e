//! Compares three methods to share a back end's rate limit, at the supported sizes of fleets.

#[path = "../tests/intake_sim/mod.rs"]
mod intake_sim;

use intake_sim::{simulate, Fault, Outcome, Scenario, SharingMethod};

/// Number of seeds if the first argument does not set it.
const DEFAULT_SEEDS: u64 = 20;
const SECONDS: u64 = 30;
const PER_S: f64 = 2.0;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|n| n.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    println!("method entries skew fault: windows over, max (allowed), max with entries not informed yet, unused, permit requests per second");
    for entries in [4, 25, 103, 350] {
        for method in [
            SharingMethod::EqualShares,
            SharingMethod::Permits,
            SharingMethod::FewEntries,
        ] {
            for skew in [0.0, 0.8] {
                let faults = match method {
                    SharingMethod::Permits => vec![
                        Fault::None,
                        Fault::IssuerRestarts,
                        Fault::HalfDisconnected,
                        Fault::Freezes,
                        Fault::LimitChanges,
                    ],
                    SharingMethod::EqualShares | SharingMethod::FewEntries => {
                        vec![Fault::None, Fault::Freezes]
                    }
                };
                for fault in faults {
                    report(method, fault, entries, skew, seeds);
                }
            }
        }
    }
}

fn report(method: SharingMethod, fault: Fault, entries: u32, skew: f64, seeds: u64) {
    let outcomes = (0..seeds).map(|seed| {
        simulate(Scenario {
            method,
            fault,
            entries,
            per_s: PER_S,
            demand_per_s: PER_S * 2.0,
            skew,
            seconds: SECONDS,
            seed,
        })
    });
    let outcomes: Vec<Outcome> = outcomes.collect();
    let mean = |value: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
    };
    println!(
        "{method:?} {entries} {skew} {fault:?}: {}, {} ({}), {}, {:.2}, {:.1}",
        outcomes.iter().map(|o| o.windows_over).sum::<usize>(),
        outcomes.iter().map(|o| o.max_in_window).max().unwrap_or(0),
        outcomes[0].allowed,
        outcomes
            .iter()
            .map(|o| o.max_in_window_of_all)
            .max()
            .unwrap_or(0),
        mean(&|o| o.unused),
        mean(&|o| o.permit_requests as f64 / SECONDS as f64),
    );
}
