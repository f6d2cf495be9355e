//! Order of the routes of a service that compete for its engines.

use {
    super::{route_rank::RouteRank, urgency::LOWEST_URGENCY, DispatchRequest},
    chalkcart_state::{ids::ServiceName, ingress::RouteTable},
    std::collections::HashMap,
};

/// Smallest weight of the newest prompt in the typical size.
const MIN_PROMPT_WEIGHT: f64 = 0.02;

/// Typical prompt of the routes of one priority.
#[derive(Debug, Default, Clone, Copy)]
struct TypicalPrompt {
    prompts: u32,
    /// Moving average of the logarithm of the size, since few large prompts must not raise
    /// the typical one.
    ln_tokens: f64,
}

/// The priorities of the routes of each service, and the typical prompts of each.
#[derive(Debug, Default)]
pub struct AdmissionOrder {
    /// In ascending order; services with one priority are left out.
    priorities: HashMap<ServiceName, Vec<u8>>,
    typical_prompts: HashMap<ServiceName, HashMap<u8, TypicalPrompt>>,
}

impl AdmissionOrder {
    /// Applies the routes of a new configuration.
    pub fn set_routes(&mut self, table: &RouteTable) {
        let mut priorities: HashMap<ServiceName, Vec<u8>> = HashMap::new();
        for route in table.routes() {
            for weighted in &route.services {
                let of_service = priorities.entry(weighted.service.clone()).or_default();
                of_service.push(route.priority);
            }
        }
        for of_service in priorities.values_mut() {
            of_service.sort_unstable();
            of_service.dedup();
        }
        priorities.retain(|_, of_service| of_service.len() > 1);
        self.typical_prompts
            .retain(|service, _| priorities.contains_key(service));
        self.priorities = priorities;
    }

    /// Handles a prompt that was sent.
    pub fn on_sent(&mut self, service: &ServiceName, priority: u8, prompt_tokens: u32) {
        if prompt_tokens == 0 || !self.priorities.contains_key(service) {
            return;
        }
        let of_service = self.typical_prompts.entry(service.clone()).or_default();
        let typical = of_service.entry(priority).or_default();
        typical.prompts = typical.prompts.saturating_add(1);
        let weight = (1.0 / f64::from(typical.prompts)).max(MIN_PROMPT_WEIGHT);
        typical.ln_tokens += (f64::from(prompt_tokens).ln() - typical.ln_tokens) * weight;
    }

    /// Returns the typical prompt of the routes of a priority in tokens, once there is one.
    pub fn typical_prompt_tokens(&self, service: &ServiceName, priority: u8) -> Option<f64> {
        let typical = self.typical_prompts.get(service)?.get(&priority)?;
        Some(typical.ln_tokens.exp())
    }

    /// Returns the rank of a request's route, or `None` if all routes of its service have the
    /// same priority.
    pub fn rank(&self, request: &DispatchRequest) -> Option<RouteRank> {
        let priorities = self.priorities.get(&request.service)?;
        let ranks = priorities.len().min(usize::from(LOWEST_URGENCY));
        let more_urgent = priorities.iter().filter(|p| **p < request.priority);
        Some(RouteRank {
            rank: more_urgent.count().min(ranks - 1) as u8,
            ranks: ranks as u8,
        })
    }
}
