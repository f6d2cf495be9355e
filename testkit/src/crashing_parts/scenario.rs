use {
    super::{
        clients::{crashing_part, crashing_prefix, Clients},
        disturbances::disturb,
        outcome::{Observations, Outcome},
        settings::ScenarioSettings,
    },
    crate::{
        serving::lock,
        users_platform::{Fleet, FleetSettings},
    },
    anyhow::Result,
    chalkcart_state::ingress::PartId,
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const SOUND_EVENT_INTERVAL: Duration = Duration::from_millis(50);
const SLOTS: u32 = 64;
/// Time for the last responses.
const LAST_RESPONSES: Duration = Duration::from_secs(2);

/// Starts a fleet, sends the requests and returns what became of them.
pub async fn run(settings: ScenarioSettings) -> Result<Outcome> {
    let mut fleet = Fleet::start(FleetSettings {
        engines: settings.engines,
        stream_attempts: settings.stream_attempts,
        ..FleetSettings::default()
    })
    .await?;
    let mut others = Vec::new();
    for number in 1..settings.entries {
        others.push(
            fleet
                .start_other_ingress(&format!("front-1{number}"))
                .await?,
        );
    }
    set_engines(&fleet, &settings);
    let begin = Instant::now();
    let crashing_from = begin + settings.calm;
    let until = crashing_from + settings.span;
    let sound: Arc<Mutex<Vec<_>>> = Arc::default();
    let entries = others.iter().map(|other| other.clients);
    let entries: Vec<_> = std::iter::once(fleet.clients).chain(entries).collect();
    for (number, entry) in entries.into_iter().enumerate() {
        let clients = Clients {
            settings: settings.clone(),
            entry,
            number,
            crashing_from,
            until,
            sound: sound.clone(),
        };
        tokio::spawn(clients.clone().send_sound());
        if settings.causes > 0 {
            tokio::spawn(clients.send_crashing());
        }
    }
    disturb(&mut fleet, &mut others, settings.disturbance, until).await?;
    sleep(LAST_RESPONSES).await;
    let seen = Observations {
        engines: &fleet.engines,
        sound: &lock(&sound),
        crashing_from,
        until,
    };
    let prefixes: Vec<String> = (0..settings.causes).map(crashing_prefix).collect();
    Ok(Outcome::of(&seen, &prefixes))
}

fn set_engines(fleet: &Fleet, settings: &ScenarioSettings) {
    let causes = (0..settings.causes).map(|number| PartId::of(&crashing_part(number)));
    let causes: Vec<PartId> = causes.collect();
    for engine in &fleet.engines {
        let mut state = engine.state();
        state.crash_parts = causes.clone();
        state.crash_moment = settings.moment.clone();
        state.events_before_crash = settings.events_before_crash;
        state.restart_delay = settings.restart;
        state.slots = SLOTS;
        state.event_count = settings.sound_events;
        state.event_interval = SOUND_EVENT_INTERVAL;
    }
}
