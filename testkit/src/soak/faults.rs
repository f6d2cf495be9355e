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
    StopIngress,
    FreezeIngress,
    /// the settings file is read again
    HangUpIngress,
    KillSidecar(u8),
    FreezeSidecar(u8),
    /// an engine starts again under its name, holding nothing
    EngineBornAgain(u8),
    /// the same, with a clock that stepped back
    EngineBornEarlier(u8),
    /// an engine says that it is full
    EngineSheds(u8),
    /// an engine says in its answers that it leaves, while its record says that it is
    /// ready, and comes back as another life
    EngineLeaves(u8),
    /// an engine turns requests away and asks for rest
    EngineRests(u8),
    /// an engine names in its answers how many requests it takes
    EngineLimited(u8),
    PlainLimited(u8),
    EngineCutsStreams(u8),
    EngineFails(u8),
    PlainSilent(u8),
    PlainCuts(u8),
    PlainSheds(u8),
    /// a plain back end is listed as draining for the fault's time
    PlainDrains(u8),
    /// a record that can't be read stands in the place of a plain back end's
    PlainForeignRecord(u8),
    StoreSilent,
    StoreRefuses,
    StoreResets,
    StoreForgets,
    /// connections to the store fall silent for good
    StoreConnectionsSilent,
    Configuration,
    AdapterVersion(u8),
}

/// a fault, when it begins and how long it lasts
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    pub at: Duration,
    pub lasts: Duration,
    pub fault: Fault,
}

/// a limit binds seconds after it was named
const LIMITED_LONGER: u32 = 8;

/// draw a series of faults that overlap
pub fn draw(settings: &SoakSettings) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(settings.seed);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    while at < settings.span {
        let lasts = settings.gap.mul_f64(0.5 + 3.0 * rng.random::<f64>());
        let fault = draw_fault(&mut rng, settings);
        let lasts = match fault {
            Fault::EngineLimited(_) | Fault::PlainLimited(_) => lasts * LIMITED_LONGER,
            _ => lasts,
        };
        faults.push(PlannedFault { at, lasts, fault });
        at += settings.gap.mul_f64(2.0 * rng.random::<f64>());
    }
    faults
}

fn draw_fault(rng: &mut StdRng, settings: &SoakSettings) -> Fault {
    let engine = rng.random_range(0..settings.engines);
    let plain = rng.random_range(0..settings.plain);
    let mut all = vec![
        Fault::KillIngress,
        Fault::StopIngress,
        Fault::FreezeIngress,
        Fault::HangUpIngress,
        Fault::KillSidecar(engine),
        Fault::FreezeSidecar(engine),
        Fault::EngineBornAgain(engine),
        Fault::EngineBornEarlier(engine),
        Fault::EngineSheds(engine),
        Fault::EngineCutsStreams(engine),
        Fault::EngineFails(engine),
        Fault::PlainSilent(plain),
        Fault::PlainCuts(plain),
        Fault::PlainSheds(plain),
        Fault::PlainDrains(plain),
        Fault::PlainForeignRecord(plain),
        Fault::StoreSilent,
        Fault::StoreRefuses,
        Fault::StoreResets,
        Fault::StoreForgets,
        Fault::StoreConnectionsSilent,
        Fault::Configuration,
        Fault::AdapterVersion(rng.random_range(0..4)),
    ];
    if settings.own_words {
        all.extend([Fault::EngineLeaves(engine), Fault::EngineRests(engine)]);
    }
    if settings.limits {
        all.extend([Fault::EngineLimited(engine), Fault::PlainLimited(plain)]);
        // often enough to be bound by it in a short soak
        all.extend([Fault::EngineLimited(engine), Fault::PlainLimited(plain)]);
    }
    all[rng.random_range(0..all.len())]
}
