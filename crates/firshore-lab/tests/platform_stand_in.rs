//! The platform stand-in: conditions, watches, faults, and the lagging machine list.

use actix_http::Method;
use firshore_lab::http::{Answer, Call};
use firshore_lab::stand_in::object_store::{Changes, Condition, Mismatch, Object, ObjectStore};
use firshore_lab::stand_in::platform::{Platform, PlatformFaults, Statistics};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

fn start() -> Platform {
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap()
}

fn put(platform: &Platform, key: &str, value: &str) -> Call {
    let path = format!("/objects/{key}");
    Call::new(platform.server.address, Method::PUT, &path).body(value.to_owned())
}

async fn get(platform: &Platform, path: &str) -> Answer {
    Call::get(platform.server.address, path)
        .send()
        .await
        .unwrap()
}

#[test]
fn conditions_decide_whether_a_write_takes_effect() {
    let mut store = ObjectStore::default();
    assert_eq!(store.put("a", "1".into(), Condition::Absent), Ok(1));
    let taken = Mismatch { found: Some(1) };
    assert_eq!(store.put("a", "2".into(), Condition::Absent), Err(taken));
    assert_eq!(store.put("a", "2".into(), Condition::Version(1)), Ok(2));
    let moved = Mismatch { found: Some(2) };
    assert_eq!(store.delete("a", Condition::Version(1)), Err(moved));
    assert_eq!(store.get("a").unwrap().value, "2");
    assert_eq!(store.delete("a", Condition::Version(2)), Ok(3));
    assert_eq!(
        store.put("a", "4".into(), Condition::Version(2)),
        Err(Mismatch { found: None })
    );
}

#[test]
fn changes_give_the_last_write_of_each_key_and_a_restore_forgets_later_ones() {
    let mut store = ObjectStore::default();
    for (key, value) in [("p/a", "1"), ("p/b", "2"), ("q", "3"), ("p/a", "4")] {
        store.put(key, value.into(), Condition::Always).unwrap();
    }
    store.delete("p/b", Condition::Always).unwrap();
    let changes = store.changes("p/", 1);
    let keys: Vec<&str> = changes.written.iter().map(|one| one.key.as_str()).collect();
    assert_eq!(keys, ["p/a"]);
    assert_eq!(changes.deleted, ["p/b"]);
    store.restore(2);
    assert_eq!(store.version(), 2);
    assert_eq!(store.get("p/a").unwrap().value, "1");
    assert_eq!(store.put("new", "5".into(), Condition::Always), Ok(3));
}

#[actix_rt::test]
async fn a_read_whose_caller_left_waits_no_more() {
    let platform = start();
    let read = Call::get(platform.server.address, "/objects?prefix=c/&wait=20000").send();
    let left = actix_rt::time::timeout(Duration::from_millis(500), read).await;
    assert!(left.is_err(), "nothing to answer");
    let left_at = Instant::now();
    while platform.statistics().waiting > 0 {
        assert!(left_at.elapsed() < Duration::from_secs(5), "still waits");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(platform.statistics().waiting_at_most, 1, "it did wait");
    platform.server.stop();
}

#[actix_rt::test]
async fn writes_create_compare_and_delete() {
    let platform = start();
    let create = || put(&platform, "c/1", "one").header("if-none-match", "*");
    assert_eq!(create().send().await.unwrap().status(), 200);
    assert_eq!(create().send().await.unwrap().status(), 412);
    let compare = put(&platform, "c/1", "two").header("if-match", "1");
    assert_eq!(compare.send().await.unwrap().text(), "{\"version\":2}");
    let object: Object = get(&platform, "/objects/c/1").await.json().unwrap();
    assert_eq!((object.version, object.value.as_str()), (2, "two"));
    let listed: Vec<Object> = get(&platform, "/objects?prefix=c/").await.json().unwrap();
    assert_eq!(listed, [object]);
    let bad = put(&platform, "c/1", "x").header("if-match", "x");
    assert_eq!(bad.send().await.unwrap().status(), 400);
    assert_eq!(get(&platform, "/objects/none").await.status(), 404);
    platform.server.stop();
}

#[actix_rt::test]
async fn a_watch_answers_when_something_changes() {
    let platform = start();
    let address = platform.server.address;
    let watch = Call::get(address, "/watch?prefix=c/&since=0&wait=20000").send();
    let watching = actix_rt::spawn(watch);
    put(&platform, "other", "x").send().await.unwrap();
    put(&platform, "c/1", "one").send().await.unwrap();
    let changes: Changes = watching.await.unwrap().unwrap().json().unwrap();
    assert_eq!(changes.version, 2);
    assert_eq!(changes.written[0].key, "c/1");
    let statistics: Statistics = get(&platform, "/statistics").await.json().unwrap();
    assert_eq!((statistics.reads, statistics.writes), (1, 2));
    assert_eq!((statistics.waiting, statistics.waiting_at_most), (0, 1));
    platform.server.stop();
}

#[actix_rt::test]
async fn faults_of_the_object_api() {
    let platform = start();
    put(&platform, "a", "old").send().await.unwrap();
    let set =
        |faults: Value| Call::post(platform.server.address, "/faults", faults.to_string()).send();
    set(json!({"lose_answers": 1})).await.unwrap();
    assert!(put(&platform, "a", "new").send().await.is_err());
    let object: Object = get(&platform, "/objects/a").await.json().unwrap();
    assert_eq!(
        object.value, "new",
        "a lost answer's write has taken effect"
    );
    set(json!({"down": true})).await.unwrap();
    assert!(put(&platform, "a", "never").send().await.is_err());
    set(json!({"stale_reads": true})).await.unwrap();
    put(&platform, "a", "newer").send().await.unwrap();
    let object: Object = get(&platform, "/objects/a").await.json().unwrap();
    assert_eq!(object.value, "new", "a stale read sees the state before");
    set(json!({})).await.unwrap();
    let object: Object = get(&platform, "/objects/a").await.json().unwrap();
    assert_eq!(object.value, "newer");
    set(json!({"restore_to_version": 1})).await.unwrap();
    let object: Object = get(&platform, "/objects/a").await.json().unwrap();
    assert_eq!(object.value, "old");
    set(json!({"slow_milliseconds": 50})).await.unwrap();
    let start = Instant::now();
    get(&platform, "/objects/a").await;
    assert!(start.elapsed() >= Duration::from_millis(50));
    platform.server.stop();
}

#[actix_rt::test]
async fn the_machine_list_lags() {
    let platform = start();
    let machine =
        |name: &str| json!([{"name": name, "address": "127.0.0.1:1", "region": "r", "zone": "z"}]);
    let set = |list: Value| {
        Call::new(platform.server.address, Method::PUT, "/machines")
            .body(list.to_string())
            .send()
    };
    platform.set_faults(PlatformFaults {
        machine_list_lag_milliseconds: 1_500,
        ..PlatformFaults::default()
    });
    set(machine("one")).await.unwrap();
    set(machine("two")).await.unwrap();
    let listed = || async { get(&platform, "/machines").await.text() };
    assert!(listed().await.contains("one"));
    let deadline = Instant::now() + PATIENCE;
    while !listed().await.contains("two") {
        assert!(Instant::now() < deadline);
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    platform.server.stop();
}
