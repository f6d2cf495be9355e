//! A release of another software version in a soak, and the loss of all entries or sidecars at one
//! moment.

use {
    super::{
        backend_faults::{engine, set_software},
        engine_lives::Presence,
        release_schedule::PowerCut,
        soak_run::{SoakRun, SOFTWARE},
        Fault,
    },
    crate::users_platform::FIRST_START_TIME_MS,
    anyhow::Result,
    std::{ops::Range, time::Duration},
};

/// Time between two events of the streams that show that a fleet serves again.
const SHORT_EVENT_INTERVAL: Duration = Duration::from_millis(5);

impl SoakRun {
    /// Removes the engines that join later. Entries that saw them start again, so that they know one
    /// software version only.
    pub(super) async fn prepare_release(
        &mut self,
        (_, joining): (Range<u8>, Range<u8>),
    ) -> Result<()> {
        for number in joining {
            self.remove_engine(number)?;
        }
        self.cut_power(PowerCut {
            has_entries: true,
            has_sidecars: false,
            terminated: 0,
        })?;
        self.restore_power().await?;
        self.fleet.wait_ready().await;
        self.fleet.wait_for_list(self.fleet.metrics).await;
        Ok(())
    }

    /// Lets streams that begin from now on be short.
    pub(super) fn end_long_streams(&self) {
        for engine in &self.fleet.engines {
            engine.state().event_interval = SHORT_EVENT_INTERVAL;
        }
    }

    pub(super) fn start_release_fault(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::EngineJoins(n, software) => self.add_engine(n, SOFTWARE[usize::from(software)]),
            Fault::EngineDrains(n) => {
                self.set_presence(n, Presence::Draining);
                Ok(())
            }
            Fault::EngineEnds(n) => self.remove_engine(n),
            Fault::PowerCut(cut) => self.cut_power(cut),
            _ => Ok(()),
        }
    }

    /// Starts the sidecar of an engine and lists it.
    fn add_engine(&mut self, number: u8, software: &str) -> Result<()> {
        set_software(&self.fleet, number, software);
        self.lives.set_software(number, software);
        self.set_presence(number, Presence::Ready);
        match self.power_cut.is_some_and(|cut| cut.has_sidecars) {
            true => Ok(()),
            false => self.start_missing_sidecars(),
        }
    }

    /// Removes an engine from the list and ends it with its sidecar. The next engine at its address
    /// has another id.
    pub(super) fn remove_engine(&mut self, number: u8) -> Result<()> {
        self.incarnations += 1;
        let key = format!("servers/{}", engine(&self.fleet, number).id());
        self.fleet.store.delete(&key);
        self.lives.set_presence(number, Presence::Absent);
        let ended = engine(&self.fleet, number);
        ended.restart(FIRST_START_TIME_MS + self.incarnations);
        ended.restart_with_id(&format!("e-{number}-{}", self.incarnations));
        self.end_sidecar(number)
    }

    fn end_sidecar(&mut self, number: u8) -> Result<()> {
        self.lives.set_sidecar_running(number, false);
        self.fleet.sidecars[usize::from(number)].kill()
    }

    /// Lists an engine.
    pub(super) fn set_presence(&mut self, number: u8, presence: Presence) {
        self.lives.set_presence(number, presence);
        self.publish_engine(number);
    }

    /// Writes the record of an engine, if it has one.
    pub(super) fn publish_engine(&self, number: u8) {
        let state = match self.lives.presence(number) {
            Presence::Absent => return,
            Presence::Ready => "ready",
            Presence::Draining => "draining",
        };
        self.fleet.publish_engine(usize::from(number), state);
    }

    fn cut_power(&mut self, cut: PowerCut) -> Result<()> {
        self.power_cut = Some(cut);
        if cut.has_entries {
            self.stop_ingress(cut.is_terminated(0))?;
            self.others.stop_all(|n| cut.is_terminated(n + 1))?;
        }
        if cut.has_sidecars {
            for number in self.lives.with_sidecar() {
                self.end_sidecar(number)?;
            }
        }
        Ok(())
    }

    /// Starts all that was stopped; processes that still end come last.
    pub(super) async fn restore_power(&mut self) -> Result<()> {
        self.power_cut = None;
        self.start_missing_sidecars()?;
        let has_ingress_ended = self.fleet.ingress.has_ended();
        if has_ingress_ended {
            self.start_ingress().await?;
        }
        self.select_build();
        self.others.start_all(&self.fleet).await?;
        self.start_ingress().await?;
        self.reset_signals();
        Ok(())
    }

    /// Returns whether an entry that was stopped has to stay so.
    pub(super) fn are_entries_off(&self) -> bool {
        self.power_cut.is_some_and(|cut| cut.has_entries)
    }

    fn start_missing_sidecars(&mut self) -> Result<()> {
        for number in self.lives.without_sidecar() {
            self.select_build();
            self.fleet.sidecars[usize::from(number)] = self.fleet.start_sidecar(number)?;
            self.lives.set_sidecar_running(number, true);
        }
        Ok(())
    }
}
