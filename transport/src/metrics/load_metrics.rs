use {
    prometheus_client::{
        metrics::{
            counter::Counter,
            gauge::Gauge,
            histogram::{exponential_buckets, Histogram},
        },
        registry::Registry,
    },
    std::{sync::atomic::AtomicU64, time::Duration},
};

const FIRST_BUCKET_SECONDS: f64 = 0.001;
const BUCKET_GROWTH: f64 = 2.0;
const BUCKET_COUNT: u16 = 12;

/// Metrics of an entry about its own load: its processor, its link and its sockets.
#[derive(Debug)]
pub struct LoadMetrics {
    /// Connections that clients opened.
    pub accepted: Counter,
    /// Of these, connections closed with their request unread.
    pub closed_unread: Counter,
    /// Requests per second to which reading is limited, or -1.
    pub limit: Gauge,
    /// Connections that could not be accepted, as descriptors ran out.
    pub accept_failures: Counter,
    /// Connections that clients keep open.
    pub open: Gauge,
    /// Most connections that waited in the queue of the socket at once.
    pub accept_queue: Gauge,
    /// Part of the last window for which the event loop was busy.
    utilization: Gauge<f64, AtomicU64>,
    /// Time by which the event loop is behind.
    loop_delay: Histogram,
    /// Time by which connects to targets take longer than at best.
    connect_delay: Histogram,
}

impl Default for LoadMetrics {
    fn default() -> Self {
        Self {
            accepted: Counter::default(),
            closed_unread: Counter::default(),
            limit: Gauge::default(),
            accept_failures: Counter::default(),
            open: Gauge::default(),
            accept_queue: Gauge::default(),
            utilization: Gauge::default(),
            loop_delay: new_histogram(),
            connect_delay: new_histogram(),
        }
    }
}

impl LoadMetrics {
    /// Records what was measured in a window.
    pub fn on_sample(&self, loop_delay: Duration, connect_delay: Duration, utilization: f64) {
        self.loop_delay.observe(loop_delay.as_secs_f64());
        self.connect_delay.observe(connect_delay.as_secs_f64());
        self.utilization.set(utilization);
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "connections_accepted",
            "Connections that clients opened",
            self.accepted.clone(),
        );
        registry.register(
            "connections_closed_unread",
            "Connections closed with their request unread, as this entry is overloaded",
            self.closed_unread.clone(),
        );
        registry.register(
            "admission_limit",
            "Requests per second to which reading is limited, or -1",
            self.limit.clone(),
        );
        registry.register(
            "accept_failures",
            "Connections that could not be accepted",
            self.accept_failures.clone(),
        );
        registry.register(
            "connections_open",
            "Connections that clients keep open",
            self.open.clone(),
        );
        registry.register(
            "accept_queue",
            "Most connections that were accepted in one step",
            self.accept_queue.clone(),
        );
        registry.register(
            "loop_utilization",
            "Part of the last window for which the event loop was busy",
            self.utilization.clone(),
        );
        registry.register(
            "loop_delay_seconds",
            "Time by which the event loop is behind at any time of a window",
            self.loop_delay.clone(),
        );
        registry.register(
            "connect_delay_seconds",
            "Time by which all connects of a window took longer than at best",
            self.connect_delay.clone(),
        );
    }
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_SECONDS,
        BUCKET_GROWTH,
        BUCKET_COUNT,
    ))
}
