use {
    super::{
        crashing_clients::RejectedSound,
        crowds::Crowds,
        engine_lives::EngineLives,
        other_entries::OtherEntries,
        release_schedule::PowerCut,
        store_restores::{cut_off_ingress, set_store_away, StoreRestores},
        Fault, ScheduledFault,
    },
    crate::{
        cluster::Binaries,
        users_platform::{Fleet, StoreFault, MODEL},
        waiting::until,
    },
    anyhow::{Context, Result},
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    serde_json::json,
    std::time::Duration,
    tokio::time::sleep_until,
};

/// Time limit for an exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Software versions of engines.
pub(super) const SOFTWARE: [&str; 2] = ["v1", "v2"];

/// Start or end of a fault.
#[derive(Debug, Clone, Copy)]
struct FaultStep {
    at: Duration,
    duration: Duration,
    fault: Fault,
    is_start: bool,
}

/// Fleet under faults.
pub(super) struct SoakRun {
    pub(super) fleet: Fleet,
    /// Whether the ingress was stopped and has not been started again.
    pub(super) is_stopped: bool,
    /// Processes that exited without being stopped.
    pub(super) exited: Vec<String>,
    pub(super) incarnations: u64,
    pub(super) adapter_versions: u64,
    /// Programs of an older build; process starts alternate between it and this build.
    pub(super) other_build: Option<Binaries>,
    pub(super) starts: u64,
    pub(super) max_stream_runs: u32,
    pub(super) stream_events: u32,
    pub(super) restores: StoreRestores,
    pub(super) crowds: Option<Crowds>,
    pub(super) others: OtherEntries,
    pub(super) lives: EngineLives,
    /// The processes that were stopped at one moment and have not been started again.
    pub(super) power_cut: Option<PowerCut>,
    pub(super) has_software_versions: bool,
    pub(super) has_failing_plain: bool,
    pub(super) crashes_until_blocked: u32,
    /// Sound requests that were rejected for a part of their prompt.
    pub(super) rejected: RejectedSound,
}

impl SoakRun {
    /// Alternates between the two builds for each process start.
    pub(super) fn select_build(&mut self) {
        self.starts += 1;
        let other = self.other_build.clone().filter(|_| self.starts % 2 == 1);
        let (entry, sidecar) = other.map(|b| (b.entry, b.sidecar)).unzip();
        self.fleet.set_programs(entry, sidecar);
    }

    pub(super) async fn inject_faults(&mut self, faults: &[ScheduledFault]) -> Result<()> {
        let begin = tokio::time::Instant::now();
        let steps = faults.iter().flat_map(|planned| {
            let step = |at, is_start| FaultStep {
                at,
                duration: planned.duration,
                fault: planned.fault,
                is_start,
            };
            [
                step(planned.at, true),
                step(planned.at + planned.duration, false),
            ]
        });
        let mut steps: Vec<FaultStep> = steps.collect();
        steps.sort_by_key(|step| step.at);
        for step in steps {
            sleep_until(begin + step.at).await;
            let done = match step.is_start {
                true => self.start_fault(step.fault, step.duration).await,
                false => self.end_fault(step.fault).await,
            };
            done.with_context(|| format!("{step:?}"))?;
        }
        Ok(())
    }

    async fn start_fault(&mut self, fault: Fault, duration: Duration) -> Result<()> {
        self.record_exits();
        self.restores.copy(&self.fleet);
        self.prepare_crowds_for(fault);
        let fleet = &mut self.fleet;
        match fault {
            Fault::KillIngress => self.stop_ingress(false)?,
            Fault::TerminateIngress => self.stop_ingress(true)?,
            Fault::PauseIngress if !self.is_stopped => fleet.ingress.pause()?,
            Fault::ReloadIngress if !self.is_stopped => {
                kill(Pid::from_raw(fleet.ingress.id() as i32), Signal::SIGHUP)?;
            }
            Fault::PauseIngress | Fault::ReloadIngress => {}
            Fault::KillEntry(_)
            | Fault::TerminateEntry(_)
            | Fault::PauseEntry(_)
            | Fault::CutEntry(..)
            | Fault::CutInParts(_) => self.others.start_fault(fault)?,
            Fault::Crowd => {
                if let Some(crowds) = self.crowds.as_mut().filter(|_| !self.is_stopped) {
                    crowds.start(fleet.ingress.id(), fleet.clients, duration);
                }
            }
            Fault::KillSidecar(n) if self.lives.is_sidecar_running(n.into()) => {
                fleet.sidecars[usize::from(n)].kill()?;
                self.select_build();
                self.fleet.sidecars[usize::from(n)] = self.fleet.start_sidecar(n)?;
            }
            Fault::PauseSidecar(n) if self.lives.is_sidecar_running(n.into()) => {
                fleet.sidecars[usize::from(n)].pause()?
            }
            Fault::StoreUnresponsive => fleet.store.set_fault(StoreFault::Unresponsive),
            Fault::StoreReturnsErrors => fleet.store.set_fault(StoreFault::Status(503)),
            Fault::StoreResetsConnections => fleet.store.set_fault(StoreFault::Reset),
            Fault::StoreCompacts => fleet.store.compact_history(),
            Fault::StoreConnectionsUnresponsive => fleet.store.silence_connections(),
            Fault::StoreRestored => set_store_away(fleet, true),
            Fault::StoreRestoredUnseen => {
                cut_off_ingress(fleet, true);
                self.restores.restore(fleet);
            }
            Fault::Configuration => fleet.configure(|_| {}),
            Fault::AdapterVersion(n) => {
                self.adapter_versions += 1;
                let (adapter, version) = (format!("a{n}"), 1 + self.adapter_versions);
                for engine in &fleet.engines {
                    let mut state = engine.state();
                    state.orders.versions.insert(adapter.clone(), version);
                }
                let key = format!("op/version/{MODEL}.{adapter}");
                let document = json!({"Model": MODEL, "Adapter": adapter, "Version": version});
                fleet.store.put(&key, document);
            }
            _ => {
                self.start_engine_fault(fault);
                self.start_plain_fault(fault);
                self.start_release_fault(fault)?;
            }
        }
        Ok(())
    }

    /// Ends the quota of the ingress before another fault stops it.
    fn prepare_crowds_for(&mut self, fault: Fault) {
        let stops = matches!(
            fault,
            Fault::KillIngress | Fault::TerminateIngress | Fault::PauseIngress | Fault::PowerCut(_)
        );
        if let Some(crowds) = self.crowds.as_mut().filter(|_| stops) {
            crowds.on_disturbed();
        }
    }

    async fn end_fault(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Crowd => {
                if let Some(crowds) = &mut self.crowds {
                    crowds.end();
                }
            }
            Fault::PowerCut(_) => self.restore_power().await?,
            Fault::KillIngress
            | Fault::TerminateIngress
            | Fault::KillEntry(_)
            | Fault::TerminateEntry(_)
                if self.are_entries_off() => {}
            Fault::KillIngress | Fault::TerminateIngress => self.start_ingress().await?,
            Fault::PauseIngress if !self.is_stopped => {
                self.fleet.ingress.resume()?;
                self.reset_signals();
            }
            Fault::KillEntry(_) | Fault::TerminateEntry(_) => {
                self.select_build();
                self.others.end_fault(fault, &self.fleet).await?;
                self.reset_signals();
            }
            Fault::PauseEntry(_) | Fault::CutEntry(..) | Fault::CutInParts(_) => {
                self.others.end_fault(fault, &self.fleet).await?;
                self.reset_signals();
            }
            Fault::PauseSidecar(n) if self.lives.is_sidecar_running(n.into()) => {
                self.fleet.sidecars[usize::from(n)].resume()?
            }
            Fault::StoreRestored => {
                self.restores.restore(&self.fleet);
                set_store_away(&self.fleet, false);
            }
            Fault::StoreRestoredUnseen => cut_off_ingress(&self.fleet, false),
            Fault::StoreUnresponsive
            | Fault::StoreReturnsErrors
            | Fault::StoreResetsConnections => {
                self.fleet.store.set_fault(StoreFault::None);
            }
            _ => {
                self.end_engine_fault(fault);
                self.end_plain_fault(fault);
            }
        }
        Ok(())
    }

    /// Resets the signals of all back ends: an entry that was down or paused has not seen them.
    pub(super) fn reset_signals(&self) {
        for backend in self.fleet.engines.iter().chain(&self.fleet.plain) {
            backend.state().reset_signals();
        }
    }

    /// Sends SIGTERM or SIGKILL.
    pub(super) fn stop_ingress(&mut self, is_terminated: bool) -> Result<()> {
        if self.is_stopped {
            return Ok(());
        }
        self.is_stopped = true;
        if is_terminated {
            // a paused process can't handle SIGTERM
            self.fleet.ingress.resume()?;
            return self.fleet.ingress.terminate();
        }
        self.fleet.ingress.kill()
    }

    pub(super) async fn start_ingress(&mut self) -> Result<()> {
        if self.is_stopped {
            // a terminated process exits within its grace period
            self.fleet.ingress.wait(STOP_TIMEOUT).await?;
            self.select_build();
            self.fleet.restart_ingress()?;
            let ingress = &self.fleet.ingress;
            until("the ingress handles SIGHUP", || ingress.survives_sighup()).await;
            self.is_stopped = false;
            self.reset_signals();
        }
        Ok(())
    }

    /// Records processes that exited without being stopped.
    pub(super) fn record_exits(&mut self) {
        if !self.is_stopped && self.fleet.ingress.has_ended() {
            self.exited.push("ingress".to_string());
        }
        self.exited.extend(self.others.exited());
        for (number, sidecar) in self.fleet.sidecars.iter_mut().enumerate() {
            if self.lives.is_sidecar_running(number) && sidecar.has_ended() {
                self.exited.push(format!("sidecar {number}"));
            }
        }
    }
}
