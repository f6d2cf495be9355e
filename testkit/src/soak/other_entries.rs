//! The entries of a soak beside its ingress, and their faults.

use {
    super::{CutDirection, Fault},
    crate::{
        forwarder::LinkFault,
        users_platform::{Fleet, OtherIngress},
        waiting::until,
    },
    anyhow::Result,
    std::{net::SocketAddr, time::Duration},
};

/// Time limit for an exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

pub(super) struct OtherEntries(Vec<OtherEntry>);

struct OtherEntry {
    ingress: OtherIngress,
    /// Whether it was stopped and has not been started again.
    is_stopped: bool,
}

impl OtherEntries {
    pub async fn start(fleet: &Fleet, count: u8) -> Result<Self> {
        let mut entries = Vec::new();
        for number in 0..count {
            let ingress = fleet
                .start_linked_ingress(&format!("front-2{number}"))
                .await?;
            entries.push(OtherEntry {
                ingress,
                is_stopped: false,
            });
        }
        Ok(Self(entries))
    }

    pub fn clients(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.0.iter().map(|entry| entry.ingress.clients)
    }
    pub fn logs(&self) -> impl Iterator<Item = String> + '_ {
        self.0.iter().map(|entry| entry.ingress.log())
    }

    /// Starts a fault of these entries or of their links.
    pub fn start_fault(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::KillEntry(n) => self.entry(n).kill(),
            Fault::TerminateEntry(n) => self.entry(n).terminate(),
            Fault::PauseEntry(n) => self.entry(n).pause(),
            Fault::CutEntry(n, direction) => {
                let fault = match direction {
                    CutDirection::Both => LinkFault::Blackhole,
                    CutDirection::ToSidecars => LinkFault::RequestsLost,
                    CutDirection::FromSidecars => LinkFault::ResponsesLost,
                };
                self.entry(n).ingress.cut(fault, |_| true);
                Ok(())
            }
            Fault::CutInParts(parts) => {
                let parts = usize::from(parts);
                for (number, entry) in self.0.iter().enumerate() {
                    let is_other_part = |sidecar: usize| sidecar % parts != number % parts;
                    entry.ingress.cut(LinkFault::Blackhole, is_other_part);
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Stops all of them at one moment, some by SIGTERM.
    pub fn stop_all(&mut self, is_terminated: impl Fn(usize) -> bool) -> Result<()> {
        for (number, entry) in self.0.iter_mut().enumerate() {
            match is_terminated(number) {
                true => entry.terminate()?,
                false => entry.kill()?,
            }
        }
        Ok(())
    }

    /// Starts those that are stopped; processes that still end come last.
    pub async fn start_all(&mut self, fleet: &Fleet) -> Result<()> {
        for waits in [false, true] {
            for entry in &mut self.0 {
                if waits || entry.ingress.process.has_ended() {
                    entry.start(fleet).await?;
                }
            }
        }
        Ok(())
    }

    pub async fn end_fault(&mut self, fault: Fault, fleet: &Fleet) -> Result<()> {
        match fault {
            Fault::KillEntry(n) | Fault::TerminateEntry(n) => self.entry(n).start(fleet).await,
            Fault::PauseEntry(n) if !self.entry(n).is_stopped => {
                self.entry(n).ingress.process.resume()
            }
            Fault::CutEntry(n, _) => {
                self.entry(n).ingress.cut(LinkFault::None, |_| false);
                Ok(())
            }
            Fault::CutInParts(_) => {
                let entries = self.0.iter();
                entries.for_each(|entry| entry.ingress.cut(LinkFault::None, |_| false));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Returns the entries that exited without being stopped.
    pub fn exited(&mut self) -> Vec<String> {
        let running = self.0.iter_mut().enumerate().filter(|(_, e)| !e.is_stopped);
        let ended = running.filter_map(|(number, entry)| {
            let has_ended = entry.ingress.process.has_ended();
            has_ended.then(|| format!("entry {number}"))
        });
        ended.collect()
    }

    fn entry(&mut self, number: u8) -> &mut OtherEntry {
        &mut self.0[usize::from(number)]
    }
}

impl OtherEntry {
    fn kill(&mut self) -> Result<()> {
        if !self.is_stopped {
            self.ingress.process.kill()?;
            self.is_stopped = true;
        }
        Ok(())
    }
    fn terminate(&mut self) -> Result<()> {
        if !self.is_stopped {
            // a paused process can't handle SIGTERM
            self.ingress.process.resume()?;
            self.ingress.process.terminate()?;
            self.is_stopped = true;
        }
        Ok(())
    }
    fn pause(&mut self) -> Result<()> {
        match self.is_stopped {
            true => Ok(()),
            false => self.ingress.process.pause(),
        }
    }
    async fn start(&mut self, fleet: &Fleet) -> Result<()> {
        if self.is_stopped {
            self.ingress.process.wait(STOP_TIMEOUT).await?;
            fleet.restart_other(&mut self.ingress)?;
            let process = &self.ingress.process;
            until("the entry handles SIGHUP", || process.survives_sighup()).await;
            self.is_stopped = false;
        }
        Ok(())
    }
}
