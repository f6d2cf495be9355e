//! Clients whose requests crash each engine that runs them.

use {
    super::observations::{CRASHING_ID, PART_ID, SOUND_ID},
    crate::{
        serving::lock,
        users_platform::{prompt, prompt_with_parts, request, ClientRequest, CrashMoment, Fleet},
    },
    chalkcart_state::ingress::PartId,
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        time::Duration,
    },
    tokio::{task::JoinHandle, time::sleep},
};

const CRASHING_BODY: &[u8] = b"ends each engine that runs it";
const CRASHING_PART: &str = "bad0";
/// The first part of all prompts of the client, also of sound ones.
const FIRST_PART: &str = "5c1e07a2";
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Ids of sound requests that were rejected for a part of their prompt.
pub type RejectedSound = Arc<Mutex<Vec<String>>>;

/// Sends the same request again and again, each time under another id.
pub fn send_crashing_requests(fleet: &Fleet, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    for engine in &fleet.engines {
        engine.state().crash_body = Some(CRASHING_BODY.to_vec());
    }
    let (entry, stop) = (fleet.clients, stop.clone());
    tokio::spawn(async move {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let crashing_request = ClientRequest {
                body: CRASHING_BODY.to_vec(),
                ..prompt("a0", &format!("{CRASHING_ID}{number}"))
            };
            // the result doesn't matter: the engines count their crashes
            let _ = request(entry, &crashing_request).await;
            sleep(REQUEST_INTERVAL).await;
        }
    })
}

/// Sends requests with a part that crashes engines to the entries in turn, no two alike, each beside a
/// sound one with the same first part. The moment of the crash differs from seed to seed.
pub fn send_crashing_parts(
    fleet: &Fleet,
    (entries, seed): (&[SocketAddr], u64),
    stop: &Arc<AtomicBool>,
    rejected: &RejectedSound,
) -> JoinHandle<()> {
    let (moment, events) = crash_moment(seed);
    for engine in &fleet.engines {
        let mut state = engine.state();
        state.crash_parts = vec![PartId::of(CRASHING_PART)];
        state.crash_moment = moment.clone();
        state.events_before_crash = events;
    }
    let (entries, stop, rejected) = (entries.to_vec(), stop.clone(), rejected.clone());
    tokio::spawn(async move {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let entry = entries[number as usize % entries.len()];
            tokio::join!(
                send(
                    entry,
                    format!("{PART_ID}{number}"),
                    &[FIRST_PART, CRASHING_PART]
                ),
                send_sound(entry, number, &rejected),
            );
            sleep(REQUEST_INTERVAL).await;
        }
    })
}

/// Returns when engines crash in the soak of a seed, and how many events a crashing response has.
fn crash_moment(seed: u64) -> (CrashMoment, u32) {
    let after = |delay_ms| CrashMoment {
        delay_ms: delay_ms..=delay_ms,
        ..CrashMoment::default()
    };
    match seed % 5 {
        0 => (after(20), 0),
        1 => {
            let silent_percent = 100;
            let silent = CrashMoment {
                silent_percent,
                ..after(0)
            };
            (silent, 0)
        }
        2 => (after(700), 1),
        3 => (after(1_200), 1),
        _ => {
            let silent_percent = 50;
            let half = CrashMoment {
                silent_percent,
                ..after(100)
            };
            (half, 0)
        }
    }
}

async fn send_sound(entry: SocketAddr, number: u64, rejected: &RejectedSound) {
    let id = format!("{SOUND_ID}{number}");
    if send(entry, id.clone(), &[FIRST_PART]).await == Some(400) {
        lock(rejected).push(id);
    }
}

/// Sends a request that no other one equals. Returns the status of a complete response.
async fn send(entry: SocketAddr, id: String, shared: &[&str]) -> Option<u16> {
    let last = PartId::of(&id).to_string();
    let parts: Vec<&str> = shared.iter().copied().chain([last.as_str()]).collect();
    let unique = ClientRequest {
        body: id.clone().into_bytes(),
        ..prompt_with_parts(prompt("a0", &id), &parts)
    };
    let response = request(entry, &unique).await.ok()?;
    response.is_complete.then_some(response.status)
}
