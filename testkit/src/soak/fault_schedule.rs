use {
    super::SoakSettings,
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::time::Duration,
};

/// one thing that is done to the fleet from outside
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL, and a start after the fault's time
    KillIngress,
    /// SIGTERM, and a start once it has ended
    TerminateIngress,
    PauseIngress,
    /// the settings file is read again
    ReloadIngress,
    KillSidecar(u8),
    PauseSidecar(u8),
    /// an engine starts again under its name, holding nothing
    EngineRestarts(u8),
    /// the same, with a clock that stepped back
    EngineRestartsWithEarlierClock(u8),
    /// an engine says that it is full
    EngineOverloaded(u8),
    /// an engine says in its answers that it leaves, while its record says that it is
    /// ready, and comes back as another life
    EngineLeaves(u8),
    /// an engine turns requests away and asks for rest
    EngineRequestsBackoff(u8),
    /// an engine names in its answers how many requests it takes
    EngineLimited(u8),
    PlainLimited(u8),
    EngineTruncatesStreams(u8),
    EngineFails(u8),
    PlainUnresponsive(u8),
    PlainClosesWithoutResponse(u8),
    PlainOverloaded(u8),
    /// a plain back end is listed as draining for the fault's time
    PlainDrains(u8),
    /// a record that can't be read stands in the place of a plain back end's
    PlainRecordUnreadable(u8),
    StoreUnresponsive,
    StoreReturnsErrors,
    StoreResetsConnections,
    StoreCompacts,
    /// connections to the store fall silent for good
    StoreConnectionsUnresponsive,
    Configuration,
    AdapterVersion(u8),
}

/// a fault, when it begins and how long it lasts
#[derive(Debug, Clone, Copy)]
pub struct ScheduledFault {
    pub at: Duration,
    pub duration: Duration,
    pub fault: Fault,
}

/// a limit binds seconds after it was named
const LIMIT_DURATION_FACTOR: u32 = 8;

/// draw a series of faults that overlap
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
    if settings.backend_signals {
        all.extend([
            Fault::EngineLeaves(engine),
            Fault::EngineRequestsBackoff(engine),
        ]);
    }
    if settings.rate_limits {
        all.extend([Fault::EngineLimited(engine), Fault::PlainLimited(plain)]);
        // often enough to be bound by it in a short soak
        all.extend([Fault::EngineLimited(engine), Fault::PlainLimited(plain)]);
    }
    all[rng.random_range(0..all.len())]
}
