use {
    super::scenario::SERVICE,
    chalkcart_protocol::peer::{StreamOrigin, StreamOriginsResponse},
    std::{net::SocketAddr, time::Duration},
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Runs {
        entry: usize,
    },
    /// Broke off; its client tries to take it up.
    Broken,
    Ended,
}

/// One stream, and the tries of its client.
#[derive(Debug)]
pub struct Stream {
    pub number: usize,
    pub version: String,
    pub engine: usize,
    pub began: Duration,
    pub phase: Phase,
    pub tries: u32,
    /// What held when the first try began.
    pub first_try: Option<FirstTry>,
    pub broke: Duration,
    pub search: Option<RunningSearch>,
}

#[derive(Debug, Clone, Copy)]
pub struct FirstTry {
    pub is_served: bool,
    pub is_told: bool,
}

/// A try whose entry asks sidecars.
#[derive(Debug)]
pub struct RunningSearch {
    pub entry: usize,
    /// Which of its processes.
    pub life: u32,
    pub asked: usize,
    pub responses: Vec<(SocketAddr, StreamOriginsResponse)>,
}

impl Stream {
    pub fn new(number: usize, entry: usize, engine: usize, version: &str, now: Duration) -> Self {
        Self {
            number,
            version: version.to_string(),
            engine,
            began: now,
            phase: Phase::Runs { entry },
            tries: 0,
            first_try: None,
            broke: Duration::ZERO,
            search: None,
        }
    }

    /// Returns the attempt that began it.
    pub fn request(&self) -> String {
        format!("s{}", self.number)
    }

    pub fn origin(&self) -> StreamOrigin {
        StreamOrigin {
            request: self.request(),
            service: SERVICE.to_string(),
            backend: format!("e-{}", self.engine).into(),
            version: Some(self.version.clone()),
        }
    }
}
