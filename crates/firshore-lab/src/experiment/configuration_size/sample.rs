//! Configurations of a given number of tenants, shaped like the declared examples.

use firshore_types::configuration::{Change, Configuration, key_digest};
use firshore_types::declaration::{
    Declaration, Limits, Metadata, PolicySpec, PoolSpec, Protocol, ServiceSpec, TenantSpec,
};
use firshore_types::ids::{ChangeId, PoolName, Revision};
use firshore_types::labels::{Labels, Selector};

/// Tenants that share one policy.
const TENANTS_PER_POLICY: usize = 100;

/// Models in steady use at the size we design for.
const SERVICES: usize = 8;

/// Bearer key of the tenant of this number.
pub fn key(number: usize) -> String {
    format!("key-of-tenant-{number}")
}

/// Model of the service of this number.
pub fn model(number: usize) -> String {
    format!("model-{}", number % SERVICES)
}

fn metadata(name: String, labels: &[(&str, &str)]) -> Metadata {
    Metadata {
        name,
        labels: Labels::from_pairs(labels.iter().copied()),
    }
}

fn tenant(number: usize, priority: u8) -> Declaration {
    let plan = format!("plan-{}", number / TENANTS_PER_POLICY);
    Declaration::Tenant {
        metadata: metadata(
            format!("tenant-{number:06}"),
            &[("plan", &plan), ("team", "fieldline")],
        ),
        spec: TenantSpec {
            key_digests: vec![key_digest(&key(number))],
            priority,
            limits: Limits {
                requests_per_second: Some(25.0),
                concurrent_requests: Some(64),
            },
        },
    }
}

fn policy(number: usize) -> Declaration {
    let plan = format!("plan-{number}");
    Declaration::Policy {
        metadata: metadata(plan.clone(), &[]),
        spec: PolicySpec {
            tenants: Some(Selector::matching([("plan", plan.as_str())])),
            priority: Some(50),
            ..PolicySpec::default()
        },
    }
}

fn service(number: usize) -> [Declaration; 2] {
    let pool = format!("pool-{number}");
    let service = ServiceSpec {
        protocol: Protocol::Model,
        model: Some(model(number)),
        pool: PoolName(pool.clone()),
    };
    let machines = PoolSpec {
        machines: Selector::matching([("pool", pool.as_str())]),
        slots: 128,
    };
    [
        Declaration::Service {
            metadata: metadata(format!("service-{number}"), &[("class", "model")]),
            spec: service,
        },
        Declaration::EnginePool {
            metadata: metadata(pool.clone(), &[]),
            spec: machines,
        },
    ]
}

/// A configuration of `tenants` tenants at revision 1.
pub fn configuration(tenants: usize) -> Configuration {
    let policies = tenants.div_ceil(TENANTS_PER_POLICY);
    let declarations = (0..tenants)
        .map(|number| tenant(number, 50))
        .chain((0..policies).map(policy))
        .chain((0..SERVICES).flat_map(service));
    Configuration {
        revision: Revision(1),
        declarations: declarations.collect(),
    }
}

/// A change of one tenant's priority that follows `revision`.
pub fn change(revision: Revision, number: usize) -> Change {
    Change {
        revision: revision.next(),
        change_id: ChangeId(format!("change-{}", revision.0)),
        author: "operator".to_owned(),
        upserts: vec![tenant(number, (revision.0 % 100) as u8)],
        removals: Vec::new(),
    }
}
