//! Divides a route's requests among its services by smooth weighted round robin: with each request, the credit
//! of every service grows by its weight, and the chosen service with the most credit pays the sum of all weights.

use firshore_adapter::route::{Route, WeightedService};
use firshore_types::ids::ServiceName;
use std::collections::HashMap;

/// Credits of services by route.
#[derive(Debug, Default)]
pub struct Split {
    credits: HashMap<String, Vec<Credit>>,
}

#[derive(Debug)]
struct Credit {
    service: WeightedService,
    credit: i64,
}

impl Split {
    /// Returns the service for the next request of `route`.
    pub fn next(&mut self, route: &Route) -> ServiceName {
        if let [only] = route.services.as_slice() {
            return only.service.clone();
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        let unchanged = credits.iter().map(|one| &one.service).eq(&route.services);
        if !unchanged {
            let start = |service: &WeightedService| Credit {
                service: service.clone(),
                credit: 0,
            };
            *credits = route.services.iter().map(start).collect();
        }
        let total: i64 = route.services.iter().map(|one| i64::from(one.weight)).sum();
        for one in credits.iter_mut() {
            one.credit += i64::from(one.service.weight);
        }
        let richest = credits
            .iter_mut()
            .max_by_key(|one| one.credit)
            .expect("a route has a service");
        richest.credit -= total;
        richest.service.service.clone()
    }
}
