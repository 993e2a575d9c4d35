//! A machine that was suspended: what a node knew before is as old as it is, and a share of a limit that has
//! gone to others is not used. The steady clock stands still meanwhile.

mod support;

use firshore_adapter::tenant::{RateLimit, Tenant};
use firshore_gateway::freshness::FreshnessSource;
use firshore_limits::report::{TenantDigest, TenantView, UsageResponse};
use firshore_stand_in::backend::Play;
use serde_json::json;
use std::time::Duration;
use support::{place, send};
use tokio::io::AsyncReadExt;

const SUSPENSION: Duration = Duration::from_secs(20);

#[test]
fn an_unknown_route_is_not_denied_after_a_suspension() {
    actix_rt::System::new().block_on(async {
        let route = json!({"prefix": "/a/", "service": "s", "repetition": "once", "timeout": 400,
            "attempts": 1});
        let configuration = json!({"version": 1, "routes": [route]});
        let place = place(configuration, &[&[]], Play::Whole).await;
        let belief = &place.gateway.freshness.configuration;
        belief.limit_age(Duration::from_secs(2));
        belief.confirm(firshore_clock::now(), FreshnessSource::Store);
        assert_eq!(status(place.callers).await, 404);
        firshore_clock::simulate_suspension(SUSPENSION);
        assert_eq!(status(place.callers).await, 503);
        assert!(belief.age_ms().unwrap() >= SUSPENSION.as_millis() as u64);
    });
}

async fn status(callers: std::net::SocketAddr) -> u16 {
    let mut stream = send(callers, "/none/", "").await;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

#[test]
fn what_was_left_of_a_limit_is_not_used_after_a_suspension() {
    actix_rt::System::new().block_on(async {
        let tenants = json!([{"name": "ann", "keys": ["k"], "rate": 1000.0}]);
        let configuration = json!({"version": 1, "routes": [], "tenants": tenants});
        let place = place(configuration, &[&[]], Play::Whole).await;
        let ann = Tenant {
            name: "ann".into(),
            priority: None,
            limit: Some(RateLimit {
                per_second: 1_000.0,
                burst: 1_000.0,
            }),
        };
        let picture = TenantView {
            tenant: TenantDigest::from(&ann.name),
            left: 1_000.0,
            next: 1_000.0,
            demand: 1_000.0,
        };
        let news = UsageResponse {
            pictures: vec![picture],
            ledger: 1,
            complete: true,
        };
        let _ = place.gateway.admit(&ann);
        let now = firshore_clock::now().into_std();
        place.gateway.take_usage_report(now);
        place.gateway.apply_usage_report(Some((now, &news)));
        let admitted = || {
            (0..300)
                .filter(|_| place.gateway.admit(&ann).is_ok())
                .count()
        };
        assert_eq!(admitted(), 300);
        firshore_clock::simulate_suspension(SUSPENSION);
        let later = admitted();
        assert!(later < 30, "{later} of what was left before");
    });
}
