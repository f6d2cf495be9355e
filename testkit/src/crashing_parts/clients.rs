use {
    super::{outcome::Sent, settings::ScenarioSettings},
    crate::{
        serving::lock,
        users_platform::{prompt, prompt_with_parts, request, ClientRequest},
    },
    chalkcart_state::ingress::PartId,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::{sleep, sleep_until, timeout},
};

/// The first part of all prompts, unless a crashing part comes first.
const FIRST_PART: &str = "5c1e07a2";
/// The second parts of sound prompts.
const SOUND_PARTS: [&str; 3] = ["aa1", "aa2", "aa3"];

/// Returns the part that crashes engines, by its number.
pub fn crashing_part(number: u8) -> String {
    format!("bad{number}")
}

/// Returns the prefix of the ids of the requests with a crashing part.
pub fn crashing_prefix(number: u8) -> String {
    format!("crashing-{}-", crashing_part(number))
}

/// Clients of one entry.
#[derive(Clone)]
pub struct Clients {
    pub settings: ScenarioSettings,
    pub entry: SocketAddr,
    pub number: usize,
    pub crashing_from: Instant,
    pub until: Instant,
    pub sound: Arc<Mutex<Vec<Sent>>>,
}

impl Clients {
    /// Sends sound requests until the end.
    pub async fn send_sound(self) {
        let interval = interval_of(self.settings.sound_rate, self.settings.entries);
        for count in 0.. {
            let at = Instant::now();
            if at >= self.until {
                return;
            }
            let id = format!("sound-{}-{count}", self.number);
            let second = SOUND_PARTS[count % SOUND_PARTS.len()];
            let sound = self.request(&id, &[FIRST_PART, second]);
            let clients = self.clone();
            tokio::spawn(async move {
                let leaves = clients.settings.sound_leaves.unwrap_or(Duration::MAX);
                let response = timeout(leaves, request(clients.entry, &sound)).await;
                let status = response.ok().and_then(Result::ok).map(|r| r.status);
                // one that left had begun
                let has_left = leaves < Duration::MAX && status.is_none();
                let status = if has_left { Some(200) } else { status };
                lock(&clients.sound).push(Sent { at, status });
            });
            sleep(interval).await;
        }
    }

    /// Sends requests with a crashing part, no two alike, from its begin until the end.
    pub async fn send_crashing(self) {
        let interval = interval_of(self.settings.crashing_rate, self.settings.entries);
        let turn = match self.settings.is_at_one_moment {
            true => Duration::ZERO,
            false => interval * self.number as u32 / u32::from(self.settings.entries),
        };
        let begin = self.crashing_from + turn;
        for count in 0.. {
            let at = begin + interval * count;
            if at >= self.until {
                return;
            }
            sleep_until(at.into()).await;
            let after = at.duration_since(self.crashing_from);
            let quiet = self.settings.quiet;
            if quiet.is_some_and(|(from, to)| after >= from && after < to) {
                continue;
            }
            let cause = (count as usize + self.number) % usize::from(self.settings.causes);
            self.send_one_crashing(cause as u8, count);
        }
    }

    fn send_one_crashing(&self, cause: u8, count: u32) {
        let id = format!("{}{}-{count}", crashing_prefix(cause), self.number);
        let part = crashing_part(cause);
        let shared = match self.settings.is_cause_first {
            true => [part.as_str(), SOUND_PARTS[count as usize % 3]],
            false => [FIRST_PART, part.as_str()],
        };
        let (entry, crashing) = (self.entry, self.request(&id, &shared));
        tokio::spawn(async move {
            // the result doesn't matter: engines count what arrives
            let _ = request(entry, &crashing).await;
        });
    }

    fn request(&self, id: &str, shared: &[&str]) -> ClientRequest {
        let last = PartId::of(id).to_string();
        let parts: Vec<&str> = shared.iter().copied().chain([last.as_str()]).collect();
        ClientRequest {
            body: id.as_bytes().to_vec(),
            deadline_ms: self.settings.sound_deadline.as_millis() as u64,
            ..prompt_with_parts(prompt("a", id), &parts)
        }
    }
}

/// Returns the time between two requests of one entry's clients.
fn interval_of(rate: f64, entries: u8) -> Duration {
    Duration::from_secs_f64(f64::from(entries) / rate)
}
