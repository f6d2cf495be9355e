use {
    super::control::ControlHandle,
    chalkcart_coordination::dispatch::{DispatchEvent, SendOutcome, Ticket},
    chalkcart_transport::ingress::{PassEnd, PassObserver},
    std::time::Duration,
};

/// tells the control thread how one send ends, whatever happens to it
pub struct SendGuard {
    control: ControlHandle,
    ticket: Ticket,
    has_started: bool,
    has_ended: bool,
}

impl SendGuard {
    pub fn new(control: ControlHandle, ticket: Ticket) -> Self {
        Self {
            control,
            ticket,
            has_started: false,
            has_ended: false,
        }
    }
    pub fn start(&mut self) {
        if !self.has_started {
            self.has_started = true;
            self.control.tell(DispatchEvent::Started(self.ticket));
        }
    }
    pub fn end(&mut self, outcome: SendOutcome) {
        if !self.has_ended {
            self.has_ended = true;
            let ticket = self.ticket;
            self.control.tell(DispatchEvent::Ended { ticket, outcome });
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.end(SendOutcome::Abandoned);
    }
}

impl PassObserver for SendGuard {
    fn on_first(&mut self) {
        self.start();
    }
    fn on_end(&mut self, end: PassEnd, _longest_pause: Duration) {
        self.end(match end {
            PassEnd::Whole => SendOutcome::Answered,
            PassEnd::Broken => SendOutcome::Failed,
            PassEnd::TimedOut | PassEnd::Left => SendOutcome::Abandoned,
        });
    }
}

/// takes a request back that waits while its client leaves
pub struct WaitGuard {
    control: ControlHandle,
    ticket: Ticket,
    is_decided: bool,
}

impl WaitGuard {
    pub fn new(control: ControlHandle, ticket: Ticket) -> Self {
        Self {
            control,
            ticket,
            is_decided: false,
        }
    }
    pub fn set_decided(&mut self) {
        self.is_decided = true;
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let ticket = self.ticket;
        self.control.tell(DispatchEvent::Withdrawn(ticket));
        // it may have been decided at the same moment
        let outcome = SendOutcome::Abandoned;
        self.control.tell(DispatchEvent::Ended { ticket, outcome });
    }
}
