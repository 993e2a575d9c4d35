//! A machine that was suspended: the node must count the suspension in the age of its data, and must not use a
//! share of a limit that was assigned to others meanwhile. The clock of timers doesn't include suspensions.

mod support;

use firshore_adapter::tenant::{RateLimit, Tenant};
use firshore_gateway::freshness::FreshnessSource;
use firshore_limits::report::{TenantDigest, TenantView, UsageResponse};
use firshore_stand_in::backend::Play;
use serde_json::json;
use std::time::Duration;
use support::{fixture, send};
use tokio::io::AsyncReadExt;

const SUSPENSION: Duration = Duration::from_secs(20);

#[test]
fn an_unknown_route_gets_no_404_after_a_suspension() {
    actix_rt::System::new().block_on(async {
        let route = json!({"prefix": "/a/", "service": "s", "repetition": "once", "timeout": 400,
            "attempts": 1});
        let configuration = json!({"version": 1, "routes": [route]});
        let fixture = fixture(configuration, &[&[]], Play::Whole).await;
        let freshness = &fixture.gateway.freshness.configuration;
        freshness.limit_age(Duration::from_secs(2));
        freshness.confirm(firshore_clock::now(), FreshnessSource::Store);
        assert_eq!(status(fixture.address).await, 404);
        firshore_clock::simulate_suspension(SUSPENSION);
        assert_eq!(status(fixture.address).await, 503);
        assert!(freshness.age_ms().unwrap() >= SUSPENSION.as_millis() as u64);
    });
}

async fn status(address: std::net::SocketAddr) -> u16 {
    let mut stream = send(address, "/none/", "").await;
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response).await;
    response.split(' ').nth(1).unwrap().parse().unwrap()
}

#[test]
fn the_rest_of_a_share_is_not_used_after_a_suspension() {
    actix_rt::System::new().block_on(async {
        let tenants = json!([{"name": "ann", "keys": ["k"], "rate": 1000.0}]);
        let configuration = json!({"version": 1, "routes": [], "tenants": tenants});
        let fixture = fixture(configuration, &[&[]], Play::Whole).await;
        let ann = Tenant {
            name: "ann".into(),
            priority: None,
            limit: Some(RateLimit {
                per_second: 1_000.0,
                burst: 1_000.0,
            }),
            allowed_regions: Default::default(),
        };
        let view = TenantView {
            tenant: TenantDigest::from(&ann.name),
            left: 1_000.0,
            next: 1_000.0,
            demand: 1_000.0,
        };
        let response = UsageResponse {
            views: vec![view],
            ledger: 1,
            complete: true,
        };
        let _ = fixture.gateway.admit(&ann);
        let now = firshore_clock::now().into_std();
        fixture.gateway.take_usage_report(now);
        fixture.gateway.apply_usage_report(Some((now, &response)));
        let admitted = || {
            (0..300)
                .filter(|_| fixture.gateway.admit(&ann).is_ok())
                .count()
        };
        assert_eq!(admitted(), 300);
        firshore_clock::simulate_suspension(SUSPENSION);
        let later = admitted();
        assert!(later < 30, "{later} admitted after the suspension");
    });
}
