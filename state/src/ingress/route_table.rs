use {
    super::{IngressLimits, Route, Service},
    crate::{
        accounts::AccountTable,
        ids::{Generation, ServiceName},
    },
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// One generation of the ingress configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    pub generation: Generation,
    pub limits: IngressLimits,
    pub services: HashMap<ServiceName, Service>,
    /// `None` if requests carry no API keys.
    pub accounts: Option<AccountTable>,
    /// Routes by host, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    pub fn new(generation: Generation, limits: IngressLimits, services: Vec<Service>) -> Self {
        let services = services.into_iter().map(|s| (s.name.clone(), s));
        Self {
            generation,
            limits,
            services: services.collect(),
            accounts: None,
            routes: HashMap::new(),
        }
    }

    /// Adds a route to a host.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        let position = routes.partition_point(|r| r.path_prefix.len() >= route.path_prefix.len());
        routes.insert(position, Arc::new(route));
    }

    /// Returns the route whose prefix is the longest match for the path.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let host = host_without_port(host).to_ascii_lowercase();
        let routes = self.routes.get(&host)?;
        let found = routes.iter().find(|r| path.starts_with(&r.path_prefix));
        found.cloned()
    }

    /// Returns all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn host_without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
