//! How a back end's limit is shared, in three ways, at the sizes of fleets that are designed for.

#[path = "../tests/intake_sim/mod.rs"]
mod intake_sim;

use intake_sim::{play, Outcome, Setting, Trouble, Way};

/// unless another number is given
const SEEDS: u64 = 20;
const SECONDS: u64 = 30;
const PER_S: f64 = 2.0;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|n| n.parse().ok());
    let seeds = seeds.unwrap_or(SEEDS);
    println!("way entries skew trouble: windows over, most (allowed), most with entries that were not told, unused, questions a second");
    for entries in [4, 25, 103, 350] {
        for way in [Way::EqualParts, Way::Permits, Way::FewEntries] {
            for skew in [0.0, 0.8] {
                let troubles = match way {
                    Way::Permits => vec![
                        Trouble::None,
                        Trouble::DealerRestarts,
                        Trouble::HalfCut,
                        Trouble::Freezes,
                        Trouble::LimitChanges,
                    ],
                    Way::EqualParts | Way::FewEntries => vec![Trouble::None, Trouble::Freezes],
                };
                for trouble in troubles {
                    report(way, trouble, entries, skew, seeds);
                }
            }
        }
    }
}

fn report(way: Way, trouble: Trouble, entries: u32, skew: f64, seeds: u64) {
    let played = (0..seeds).map(|seed| {
        play(Setting {
            way,
            trouble,
            entries,
            per_s: PER_S,
            demand_per_s: PER_S * 2.0,
            skew,
            seconds: SECONDS,
            seed,
        })
    });
    let played: Vec<Outcome> = played.collect();
    let mean = |value: &dyn Fn(&Outcome) -> f64| {
        played.iter().map(value).sum::<f64>() / played.len() as f64
    };
    println!(
        "{way:?} {entries} {skew} {trouble:?}: {}, {} ({}), {}, {:.2}, {:.1}",
        played.iter().map(|o| o.windows_over).sum::<usize>(),
        played.iter().map(|o| o.most_in_window).max().unwrap_or(0),
        played[0].allowed,
        played.iter().map(|o| o.most_of_all).max().unwrap_or(0),
        mean(&|o| o.unused),
        mean(&|o| o.questions as f64 / SECONDS as f64),
    );
}
