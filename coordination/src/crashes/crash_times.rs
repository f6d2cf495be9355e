//! How far the runs of a part had come at a crash, as reports carry it: in the field that identifies
//! good runs, which earlier builds leave empty for crashes.

use {
    super::part_history::{LongestRun, REQUEST_HASHES},
    std::time::Duration,
};

/// Earlier builds tell crashes under runs that were all shorter from others.
const EARLY: Duration = Duration::from_millis(500);
/// Time that is assumed of a longer run where the report doesn't say.
const ASSUMED: Duration = Duration::from_secs(2);

const IS_PRESENT: u64 = 1 << 63;
const TIME_BITS: u32 = 20;
const MAX_MS: u64 = (1 << TIME_BITS) - 1;

/// Returns whether earlier builds take a crash as an early one.
pub fn is_early(aboard: LongestRun) -> bool {
    aboard.written < EARLY
}

pub fn encode(aboard: LongestRun) -> u64 {
    let ms = |time: Duration| (time.as_millis() as u64).min(MAX_MS);
    let request = u64::from(aboard.request & REQUEST_HASHES) << (2 * TIME_BITS);
    IS_PRESENT | request | ms(aboard.sent_for) << TIME_BITS | ms(aboard.written)
}

/// Reads what was encoded. Times that are missing are assumed to be as long as they may be; requests
/// are assumed to differ from crash to crash.
pub fn decode(code: u64, is_early: bool, incarnation: u64) -> LongestRun {
    if code & IS_PRESENT == 0 {
        let longest = if is_early { EARLY } else { ASSUMED };
        return LongestRun {
            written: longest,
            sent_for: longest,
            request: incarnation as u32 & REQUEST_HASHES,
        };
    }
    let ms = |bits: u64| Duration::from_millis(bits & MAX_MS);
    LongestRun {
        written: ms(code),
        sent_for: ms(code >> TIME_BITS),
        request: (code >> (2 * TIME_BITS)) as u32 & REQUEST_HASHES,
    }
}
