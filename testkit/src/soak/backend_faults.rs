//! The faults of engines and plain back ends in a soak.

use {
    super::{
        soak_run::{SoakRun, SOFTWARE},
        Fault,
    },
    crate::{
        forwarder::LinkFault,
        users_platform::{
            BackendFault, BackendStandIn, CutKind, Fleet, StreamFault, FIRST_START_TIME_MS,
        },
    },
    chalkcart_coordination::response_end::Framing,
    std::time::Duration,
};

/// Back-off that engines request.
const BACKOFF: Duration = Duration::from_secs(1);
/// Rate limit that back ends announce, in requests per second.
const RATE_LIMIT_PER_S: f64 = 2.0;
/// Maximum number of requests that one fault of a back end affects.
const MAX_FAULTY_REQUESTS: u32 = 40;
/// A stream that ends with its connection inside an event.
const UNFRAMED_END: StreamFault = StreamFault {
    kind: CutKind::Close,
    after: 1,
    extra_bytes: 9,
    framing: Framing::Connection,
};

impl SoakRun {
    pub(super) fn start_engine_fault(&mut self, fault: Fault) {
        let fleet = &self.fleet;
        match fault {
            Fault::EngineRestarts(n) => {
                self.incarnations += 1;
                engine(fleet, n).restart(FIRST_START_TIME_MS + self.incarnations);
            }
            Fault::EngineRestartsWithEarlierClock(n) => {
                self.incarnations += 1;
                engine(fleet, n).restart(FIRST_START_TIME_MS - self.incarnations);
            }
            Fault::EngineOverloaded(n) => {
                engine(fleet, n).set_fault(BackendFault::Overloaded, MAX_FAULTY_REQUESTS)
            }
            Fault::EngineLeaves(n) => engine(fleet, n).state().is_leaving = true,
            Fault::EngineRequestsBackoff(n) => {
                engine(fleet, n).state().requested_backoff = Some(BACKOFF);
                engine(fleet, n).set_fault(BackendFault::Overloaded, MAX_FAULTY_REQUESTS);
            }
            Fault::EngineLimited(n) => engine(fleet, n).state().set_limit(Some(RATE_LIMIT_PER_S)),
            Fault::EngineTruncatesStreams(n) => {
                engine(fleet, n).set_fault(BackendFault::TruncateBody, MAX_FAULTY_REQUESTS);
            }
            Fault::EngineFails(n) => {
                engine(fleet, n).set_fault(BackendFault::Status(500), MAX_FAULTY_REQUESTS);
            }
            Fault::EngineEndsUnframed(n) => {
                let fault = BackendFault::Cut(UNFRAMED_END);
                engine(fleet, n).set_fault(fault, MAX_FAULTY_REQUESTS);
            }
            Fault::EngineChangesSoftware(n) => {
                self.incarnations += 1;
                let later = engine(fleet, n).state().software_version != SOFTWARE[1];
                let software = SOFTWARE[usize::from(later)];
                set_software(fleet, n, software);
                self.lives.set_software(n, software);
                engine(fleet, n).restart(FIRST_START_TIME_MS + self.incarnations);
            }
            Fault::EngineCutsHead(n, cut) => {
                engine(fleet, n).set_fault(cut.fault(), MAX_FAULTY_REQUESTS);
            }
            _ => {}
        }
    }

    pub(super) fn start_plain_fault(&mut self, fault: Fault) {
        let fleet = &self.fleet;
        match fault {
            Fault::PlainLimited(n) => plain(fleet, n).state().set_limit(Some(RATE_LIMIT_PER_S)),
            Fault::PlainUnresponsive(n) => {
                plain(fleet, n).set_fault(BackendFault::Unresponsive, MAX_FAULTY_REQUESTS)
            }
            Fault::PlainClosesWithoutResponse(n) => {
                plain(fleet, n).set_fault(BackendFault::CloseBeforeResponse, MAX_FAULTY_REQUESTS);
            }
            Fault::PlainOverloaded(n) => {
                plain(fleet, n).set_fault(BackendFault::Overloaded, MAX_FAULTY_REQUESTS)
            }
            Fault::PlainDrains(n) => {
                self.restores.on_leaving(n);
                fleet.publish_plain(usize::from(n), "draining");
            }
            Fault::PlainRecordUnreadable(n) => {
                self.restores.on_leaving(n);
                let key = format!("servers/{}", plain(fleet, n).id());
                fleet.store.put_bytes(&key, b"{\"Service\":[]");
            }
            Fault::PlainCutsHead(n, cut) => {
                plain(fleet, n).set_fault(cut.fault(), MAX_FAULTY_REQUESTS);
            }
            Fault::PlainHeld(n) => set_plain_link(fleet, n, LinkFault::Held),
            _ => {}
        }
    }

    pub(super) fn end_engine_fault(&mut self, fault: Fault) {
        match fault {
            Fault::EngineOverloaded(n)
            | Fault::EngineTruncatesStreams(n)
            | Fault::EngineEndsUnframed(n)
            | Fault::EngineCutsHead(n, _)
            | Fault::EngineFails(n) => {
                engine(&self.fleet, n).set_fault(BackendFault::None, 0);
            }
            // the list learns of the new life late
            Fault::EngineChangesSoftware(n) => self.publish_engine(n),
            Fault::EngineRestarts(n) | Fault::EngineRestartsWithEarlierClock(n)
                if self.has_software_versions =>
            {
                self.publish_engine(n);
            }
            Fault::EngineRequestsBackoff(n) => {
                engine(&self.fleet, n).set_fault(BackendFault::None, 0);
                engine(&self.fleet, n).state().requested_backoff = None;
            }
            Fault::EngineLimited(n) => engine(&self.fleet, n).state().set_limit(None),
            Fault::EngineLeaves(n) => self.replace_engine(n),
            _ => {}
        }
    }

    pub(super) fn end_plain_fault(&mut self, fault: Fault) {
        match fault {
            Fault::PlainLimited(n) => plain(&self.fleet, n).state().set_limit(None),
            Fault::PlainUnresponsive(n)
            | Fault::PlainClosesWithoutResponse(n)
            | Fault::PlainCutsHead(n, _)
            | Fault::PlainOverloaded(n) => self.set_plain_serving(n),
            Fault::PlainDrains(n) | Fault::PlainRecordUnreadable(n) => {
                match self.restores.on_return(n) {
                    true => self.replace_plain(n),
                    false => self.fleet.publish_plain(usize::from(n), "ready"),
                }
            }
            Fault::PlainHeld(n) => set_plain_link(&self.fleet, n, LinkFault::None),
            _ => {}
        }
    }

    /// Sets how a plain back end responds while no other fault affects it.
    fn set_plain_serving(&self, number: u8) {
        let (fault, requests) = match self.has_failing_plain {
            true => (BackendFault::CloseBeforeResponse, u32::MAX),
            false => (BackendFault::None, 0),
        };
        plain(&self.fleet, number).set_fault(fault, requests);
    }
    pub(super) fn set_plain_failing(&mut self, is_failing: bool) {
        self.has_failing_plain = is_failing;
        (0..self.fleet.plain.len()).for_each(|n| self.set_plain_serving(n as u8));
    }

    /// Removes an engine that left and starts another one at its address.
    fn replace_engine(&mut self, number: u8) {
        self.incarnations += 1;
        let key = format!("servers/{}", engine(&self.fleet, number).id());
        self.fleet.store.delete(&key);
        let name = format!("e-{number}-{}", self.incarnations);
        engine(&self.fleet, number).restart_with_id(&name);
        self.publish_engine(number);
    }

    /// Replaces a plain back end that left by another one at its address.
    fn replace_plain(&mut self, number: u8) {
        self.incarnations += 1;
        let key = format!("servers/{}", plain(&self.fleet, number).id());
        self.fleet.store.delete(&key);
        let name = format!("p-{number}-{}", self.incarnations);
        plain(&self.fleet, number).restart_with_id(&name);
        self.fleet.publish_plain(usize::from(number), "ready");
    }
}

/// Sets the software version of an engine, which its events name.
pub(super) fn set_software(fleet: &Fleet, number: u8, version: &str) {
    let mut state = engine(fleet, number).state();
    state.software_version = version.to_string();
    state.event_data = version.to_string();
}

fn set_plain_link(fleet: &Fleet, number: u8, fault: LinkFault) {
    if let Some(forwarder) = fleet.backend_forwarder(plain(fleet, number)) {
        forwarder.set_fault(fault);
    }
}

pub(super) fn engine(fleet: &Fleet, number: u8) -> &BackendStandIn {
    &fleet.engines[usize::from(number)]
}

fn plain(fleet: &Fleet, number: u8) -> &BackendStandIn {
    &fleet.plain[usize::from(number)]
}
