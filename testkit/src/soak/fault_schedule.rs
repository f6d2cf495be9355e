use {
    super::{
        head_cuts::HeadCut,
        release_schedule::{schedule_release, PowerCut},
        SoakSettings,
    },
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::time::Duration,
};

/// Fault injected into the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Sends SIGKILL; the ingress is started again when the fault ends.
    KillIngress,
    /// Sends SIGTERM; the ingress is started again once it has exited.
    TerminateIngress,
    PauseIngress,
    /// Sends SIGHUP, which reloads the settings file.
    ReloadIngress,
    KillSidecar(u8),
    PauseSidecar(u8),
    /// The engine restarts under the same id and holds nothing.
    EngineRestarts(u8),
    /// The engine restarts with a clock that went back.
    EngineRestartsWithEarlierClock(u8),
    /// The engine rejects requests as overloaded.
    EngineOverloaded(u8),
    /// The engine announces in its responses that it leaves while its record says that it is
    /// ready; then another incarnation replaces it.
    EngineLeaves(u8),
    /// The engine rejects requests and asks for a back-off.
    EngineRequestsBackoff(u8),
    /// The engine announces a rate limit in its responses.
    EngineLimited(u8),
    PlainLimited(u8),
    EngineTruncatesStreams(u8),
    EngineFails(u8),
    /// The engine ends streams with their connection, some of them inside an event.
    EngineEndsUnframed(u8),
    /// The engine restarts with the other software version.
    EngineChangesSoftware(u8),
    PlainUnresponsive(u8),
    PlainClosesWithoutResponse(u8),
    PlainOverloaded(u8),
    /// The plain back end is listed as draining.
    PlainDrains(u8),
    /// The record of the plain back end is replaced by an unreadable one.
    PlainRecordUnreadable(u8),
    StoreUnresponsive,
    StoreReturnsErrors,
    StoreResetsConnections,
    StoreCompacts,
    /// The store never responds again on its open connections.
    StoreConnectionsUnresponsive,
    /// The store is away, returns with an older state, and its writers repeat what it lost.
    StoreRestored,
    /// The same, while the ingress can't reach the store for twice as long.
    StoreRestoredUnseen,
    Configuration,
    AdapterVersion(u8),
    /// The same faults of an entry beside the ingress.
    KillEntry(u8),
    TerminateEntry(u8),
    PauseEntry(u8),
    /// An entry and the sidecars can't reach each other, in one direction or in both.
    CutEntry(u8, CutDirection),
    /// The entries beside the ingress and the sidecars are in so many parts that can't reach each
    /// other.
    CutInParts(u8),
    /// What is sent to the plain back end is held, and delivered when the fault ends.
    PlainHeld(u8),
    /// An engine and its sidecar start, and the engine is listed at a software version, by its number
    /// in `SOFTWARE`.
    EngineJoins(u8, u8),
    /// The record of an engine says that it drains.
    EngineDrains(u8),
    /// An engine leaves the list and ends with its sidecar.
    EngineEnds(u8),
    /// All entries, all sidecars or both stop at one moment, and start again when the fault ends.
    PowerCut(PowerCut),
    /// The back end ends its connections in the heads of its responses, or right after them.
    EngineCutsHead(u8, HeadCut),
    PlainCutsHead(u8, HeadCut),
    /// Most new connections of a crowd go to the ingress, which has a share of a core.
    Crowd,
}

/// Which messages between an entry and the sidecars are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutDirection {
    Both,
    ToSidecars,
    FromSidecars,
}

/// Fault with its start time and duration.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledFault {
    pub at: Duration,
    pub duration: Duration,
    pub fault: Fault,
}

/// Limited faults last longer, since a limit is enforced only seconds after its announcement.
const LIMIT_DURATION_FACTOR: u32 = 8;
/// Entries notice a cut after seconds.
const CUT_DURATION_FACTOR: u32 = 6;
/// Longer than a window of the retry budget.
const PARTS_DURATION_FACTOR: u32 = 20;
/// A crowd lasts some seconds.
const CROWD_DURATION_FACTOR: u32 = 4;

/// Generates a random schedule of overlapping faults from the seed.
pub fn schedule_faults(settings: &SoakSettings) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(settings.seed);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    while at < settings.fault_period {
        let duration = settings
            .mean_fault_interval
            .mul_f64(0.5 + 3.0 * rng.random::<f64>());
        let fault = random_fault(&mut rng, settings);
        let duration = match fault {
            Fault::EngineLimited(_) | Fault::PlainLimited(_) => duration * LIMIT_DURATION_FACTOR,
            Fault::Crowd => duration * CROWD_DURATION_FACTOR,
            Fault::CutEntry(..) => duration * CUT_DURATION_FACTOR,
            Fault::CutInParts(_) => duration * PARTS_DURATION_FACTOR,
            _ => duration,
        };
        faults.push(ScheduledFault {
            at,
            duration,
            fault,
        });
        at += settings
            .mean_fault_interval
            .mul_f64(2.0 * rng.random::<f64>());
    }
    if settings.has_releases {
        faults.extend(schedule_release(settings));
        faults.sort_by_key(|fault| fault.at);
    }
    faults
}

fn random_fault(rng: &mut StdRng, settings: &SoakSettings) -> Fault {
    let engine = rng.random_range(0..settings.engines);
    let plain = rng.random_range(0..settings.plain);
    let mut all = vec![
        Fault::KillIngress,
        Fault::TerminateIngress,
        Fault::PauseIngress,
        Fault::ReloadIngress,
        Fault::KillSidecar(engine),
        Fault::PauseSidecar(engine),
        Fault::EngineRestarts(engine),
        Fault::EngineRestartsWithEarlierClock(engine),
        Fault::EngineOverloaded(engine),
        Fault::EngineTruncatesStreams(engine),
        Fault::EngineFails(engine),
        Fault::PlainUnresponsive(plain),
        Fault::PlainClosesWithoutResponse(plain),
        Fault::PlainOverloaded(plain),
        Fault::PlainDrains(plain),
        Fault::PlainRecordUnreadable(plain),
        Fault::StoreUnresponsive,
        Fault::StoreReturnsErrors,
        Fault::StoreResetsConnections,
        Fault::StoreCompacts,
        Fault::StoreConnectionsUnresponsive,
        Fault::Configuration,
        Fault::AdapterVersion(rng.random_range(0..4)),
    ];
    let others = settings.entry_count() - 1;
    if others > 0 {
        let other = rng.random_range(0..others);
        let directions = [
            CutDirection::Both,
            CutDirection::ToSidecars,
            CutDirection::FromSidecars,
        ];
        let direction = directions[rng.random_range(0..directions.len())];
        all.extend([
            Fault::KillEntry(other),
            Fault::TerminateEntry(other),
            Fault::PauseEntry(other),
            Fault::CutEntry(other, direction),
            Fault::CutInParts(rng.random_range(2..=4)),
            Fault::CutInParts(2),
            Fault::PlainHeld(plain),
        ]);
    }
    if settings.has_backend_signals {
        all.extend([
            Fault::EngineLeaves(engine),
            Fault::EngineRequestsBackoff(engine),
        ]);
    }
    if settings.has_rate_limits {
        all.extend([Fault::EngineLimited(engine), Fault::PlainLimited(plain)]);
        // twice as likely, so that a limit is enforced even in a short soak
        all.extend([Fault::EngineLimited(engine), Fault::PlainLimited(plain)]);
    }
    if settings.has_unframed_ends {
        all.extend([Fault::EngineEndsUnframed(engine)].repeat(4));
    }
    if settings.has_software_versions {
        // the entry loses streams more often than by the other faults
        all.extend([Fault::EngineChangesSoftware(engine)].repeat(2));
        all.extend([Fault::KillIngress].repeat(3));
    }
    if settings.has_cut_heads {
        let cut = HeadCut::random(rng);
        let cuts = [
            Fault::EngineCutsHead(engine, cut),
            Fault::PlainCutsHead(plain, cut),
        ];
        all.extend(cuts.repeat(6));
    }
    if settings.has_crowds {
        all.extend([Fault::Crowd].repeat(6));
    }
    if settings.has_store_restores {
        // as likely as all other faults of the store
        all.extend([Fault::StoreRestored, Fault::StoreRestoredUnseen].repeat(3));
        all.extend([Fault::Configuration, Fault::PlainDrains(plain)]);
    }
    all[rng.random_range(0..all.len())]
}
