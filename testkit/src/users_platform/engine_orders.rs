use {
    serde_json::{json, Value},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

pub const MODEL: &str = "m";
pub const ADAPTER_SLOTS: usize = 2;
const LOAD_TIME: Duration = Duration::from_millis(60);

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedOrder {
    pub operation: String,
    pub adapter: String,
    pub holder: String,
    pub fence: u64,
}

/// Adapters that an engine holds, and the orders that changed them.
#[derive(Debug, Default)]
pub struct EngineOrders {
    pub held: HashMap<String, u64>,
    pub loading: HashMap<String, Instant>,
    pub versions: HashMap<String, u64>,
    pub accepted: Vec<AcceptedOrder>,
    pub highest_fence: u64,
    /// Whether the base model has not been loaded since the engine's start.
    pub is_base_model_missing: bool,
    /// Maximum number of adapters held and loading at the same time.
    pub max_adapters: usize,
}

impl EngineOrders {
    /// Returns the state after a restart, which holds nothing but still loads the newest
    /// versions from the weight store.
    pub fn next_incarnation(&self) -> Self {
        Self {
            versions: self.versions.clone(),
            ..Self::default()
        }
    }

    /// Executes an order and returns the status of the response.
    pub fn order(&mut self, body: &[u8], now: Instant) -> u16 {
        self.complete_loads(now);
        let Ok(order) = serde_json::from_slice::<Value>(body) else {
            return 400;
        };
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_string();
        let Some(fence) = order["FencingToken"].as_u64() else {
            return 400;
        };
        if fence < self.highest_fence {
            return 412;
        }
        self.highest_fence = fence;
        let expected = order["ExpectedCount"].as_u64();
        if expected.is_some_and(|count| count != self.accepted.len() as u64) {
            return 409;
        }
        let adapter = text("Adapter");
        self.accepted.push(AcceptedOrder {
            operation: text("Operation"),
            adapter: adapter.clone(),
            holder: text("Holder"),
            fence,
        });
        match text("Operation").as_str() {
            "load" if adapter.is_empty() => {
                self.is_base_model_missing = false;
                202
            }
            "load" => {
                self.loading.insert(adapter, now + LOAD_TIME);
                let all = self.held.keys().chain(self.loading.keys());
                let all: std::collections::HashSet<_> = all.collect();
                self.max_adapters = self.max_adapters.max(all.len());
                202
            }
            "unload" => {
                self.held.remove(&adapter);
                200
            }
            _ => 400,
        }
    }

    pub fn complete_loads(&mut self, now: Instant) {
        let versions = &self.versions;
        let held = &mut self.held;
        self.loading.retain(|adapter, ready| {
            if *ready <= now {
                let version = versions.get(adapter).copied().unwrap_or(1);
                held.insert(adapter.clone(), version);
            }
            *ready > now
        });
    }

    pub fn report(&mut self, now: Instant) -> Value {
        self.complete_loads(now);
        let adapters: Vec<String> = self.held.iter().map(|(a, v)| format!("{a}@{v}")).collect();
        let pending: Vec<String> = self
            .loading
            .keys()
            .map(|a| format!("{MODEL}/{a}@1"))
            .collect();
        let mut models = vec![json!({"Name": MODEL, "Version": 1, "Adapters": adapters})];
        if self.is_base_model_missing {
            models.clear();
        }
        json!({
            "Stage": "both",
            "Models": models,
            "Pending": pending, "Busy": false, "Seq": self.accepted.len(),
            "Queued": 0, "Running": 0, "KvUsed": 0, "KvTotal": 1000, "Handles": 0,
        })
    }
}
