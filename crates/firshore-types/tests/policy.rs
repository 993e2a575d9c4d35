//! Policies set priority, back ends, limits and batch permission by labels.

use firshore_types::configuration::Configuration;
use firshore_types::labels::Labels;
use firshore_types::policy::{EffectivePolicy, effective};
use firshore_types::validation::parse_declarations;

const DECLARATIONS: &str = "
kind: Tenant
metadata: {name: grower, labels: {team: fieldline, class: interactive}}
spec: {keyDigests: [], priority: 80, limits: {requestsPerSecond: 10, concurrentRequests: 4}}
---
kind: Tenant
metadata: {name: inspector, labels: {team: blue-mahoe}}
spec: {keyDigests: [], priority: 60}
---
kind: EnginePool
metadata: {name: engines}
spec: {machines: {matchLabels: {pool: engines}}}
---
kind: Service
metadata: {name: boundary-llm, labels: {class: model}}
spec: {protocol: model, model: boundary-llm, pool: engines}
";

fn effective_policy(policies: &str, tenant: &str, job: Option<&str>) -> EffectivePolicy {
    let text = format!("{DECLARATIONS}{policies}");
    let declarations = parse_declarations("test", &text).expect("the declarations parse");
    let mut configuration = Configuration::default();
    for declaration in declarations {
        configuration.declarations.insert(declaration);
    }
    let tenant = configuration
        .tenants()
        .find(|(metadata, _)| metadata.name == tenant)
        .expect("the tenant is declared");
    let (service, _) = configuration.services().next().expect("one service");
    let labels = job.map(|class| Labels::from_pairs([("class", class)]));
    effective(&configuration, tenant, service, labels.as_ref())
}

fn policy(name: &str, spec: &str) -> String {
    format!("---\nkind: Policy\nmetadata: {{name: {name}}}\nspec: {spec}\n")
}

#[test]
fn policies_apply_by_labels() {
    let nightly = policy(
        "nightly",
        "{jobs: {matchLabels: {class: nightly}}, priority: 10}",
    );
    let team = policy(
        "team",
        "{tenants: {matchLabels: {team: fieldline}}, priority: 70}",
    );
    let later = policy("zz", "{priority: 5}");
    let cases = [
        ("the tenant's own", String::new(), "grower", None, 80),
        ("jobs only, online", nightly.clone(), "grower", None, 80),
        (
            "jobs only, the job",
            nightly.clone(),
            "grower",
            Some("nightly"),
            10,
        ),
        (
            "jobs only, another job",
            nightly.clone(),
            "grower",
            Some("daily"),
            80,
        ),
        ("by tenant label", team.clone(), "grower", None, 70),
        ("another team", team.clone(), "inspector", None, 60),
        (
            "later name wins",
            format!("{later}{team}"),
            "grower",
            None,
            5,
        ),
        (
            "job before team by name",
            format!("{team}{nightly}"),
            "grower",
            Some("nightly"),
            70,
        ),
    ];
    for (name, policies, tenant, job, priority) in cases {
        assert_eq!(
            effective_policy(&policies, tenant, job).priority,
            priority,
            "{name}"
        );
    }
}

#[test]
fn unset_values_keep_earlier_values() {
    let rate = policy("a", "{limits: {requestsPerSecond: 3}}");
    let pause = policy("b", "{batchAllowed: false}");
    let resume = policy(
        "c",
        "{jobs: {matchLabels: {class: urgent}}, batchAllowed: true}",
    );
    let placement = policy("d", "{backends: {matchLabels: {accelerator: large}}}");
    let policies = format!("{rate}{pause}{resume}{placement}");
    let online = effective_policy(&policies, "grower", None);
    assert_eq!(online.limits.requests_per_second, Some(3.0));
    assert_eq!(online.limits.concurrent_requests, Some(4));
    assert!(!online.batch_allowed);
    assert!(effective_policy(&policies, "grower", Some("urgent")).batch_allowed);
    let large = Labels::from_pairs([("accelerator", "large")]);
    assert!(online.backends.matches(&large));
    assert!(!online.backends.matches(&Labels::default()));
}
