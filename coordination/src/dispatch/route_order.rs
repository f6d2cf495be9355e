//! Where a request's route stands among those of its service.

use super::{dispatcher::Dispatcher, route_rank::RouteRank, DispatchRequest};

impl Dispatcher {
    /// Returns the rank of a request's route; `None` if the order of routes doesn't apply.
    pub(super) fn route_rank(&self, request: &DispatchRequest) -> Option<RouteRank> {
        let is_on = self.settings.features.urgency_by_route;
        is_on.then(|| self.admission_order.rank(request)).flatten()
    }

    /// Returns the typical prompt of the routes of a request's priority, in tokens.
    pub(super) fn typical_prompt_of_route(&self, request: &DispatchRequest) -> f64 {
        let (service, priority) = (&request.service, request.priority);
        let typical = self
            .admission_order
            .typical_prompt_tokens(service, priority);
        typical.unwrap_or_else(|| self.typical_prompt_tokens(service))
    }
}
