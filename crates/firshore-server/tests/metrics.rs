//! The registry of metrics: names, descriptions and labels.

use firshore_server::metrics::Metrics;
use firshore_types::error::{ApiError, ErrorCode};
use std::collections::BTreeSet;

#[test]
fn every_metric_is_scraped_under_its_described_name() {
    let metrics = Metrics::default();
    metrics.count_error(&ApiError::not_run(ErrorCode::RateLimited, "too fast"));
    let text = metrics.encode();
    for description in metrics.descriptions() {
        let scraped = text.lines().any(|line| {
            line.strip_prefix(&description.name)
                .is_some_and(|rest| rest.starts_with([' ', '{']))
        });
        let unobserved = text.contains(&format!(
            "# HELP {}",
            description.name.trim_end_matches("_total")
        ));
        assert!(
            scraped || (!description.labels.is_empty() && unobserved),
            "{} is not in:\n{text}",
            description.name
        );
    }
}

#[test]
fn no_name_stands_twice_and_each_has_a_meaning() {
    let metrics = Metrics::default();
    let mut names = BTreeSet::new();
    for description in metrics.descriptions() {
        assert!(names.insert(&description.name), "{}", description.name);
        assert!(description.meaning.ends_with('.'), "{}", description.name);
    }
}

#[test]
fn errors_are_counted_by_code_and_execution() {
    let metrics = Metrics::default();
    metrics.count_error(&ApiError::not_run(ErrorCode::NoBackend, "none"));
    metrics.count_error(&ApiError::maybe_run(ErrorCode::BackendFailed, "cut off"));
    metrics.count_error(&ApiError::maybe_run(ErrorCode::BackendFailed, "cut off"));
    let text = metrics.encode();
    assert!(text.contains("firshore_errors_total{code=\"no_backend\",execution=\"none\"} 1"));
    assert!(
        text.contains("firshore_errors_total{code=\"backend_failed\",execution=\"unknown\"} 2")
    );
}
