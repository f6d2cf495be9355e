//! What is simulated.

use {super::SimTime, chalkcart_coordination::features::FeatureSwitches};

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub entries: usize,
    pub engines: usize,
    pub adapter_slots: u32,
    /// Adapters in use at a time; `None`: those of deployment U.
    pub adapters_in_use: Option<usize>,
    pub is_shifting: bool,
    pub seconds: SimTime,
    /// Factor of the usual rate, and times of bursts in ms with theirs.
    pub rate: f64,
    pub burst: Option<(SimTime, SimTime, f64)>,
    /// When a quarter of the engines crashes.
    pub crash_at: Option<SimTime>,
    pub features: FeatureSwitches,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            entries: 21,
            engines: 38,
            adapter_slots: 5,
            adapters_in_use: None,
            is_shifting: true,
            seconds: 30,
            rate: 1.0,
            burst: None,
            crash_at: None,
            features: FeatureSwitches::default(),
            seed: 1,
        }
    }
}
