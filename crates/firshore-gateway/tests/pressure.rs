//! Counting and serialization of the pressure of online requests on services.

use firshore_gateway::pressure::{PressureCounter, PressureCounts, ServicePressure};
use firshore_types::ids::ServiceName;

#[test]
fn counts_are_reported_once() {
    let (chat, desk) = (ServiceName::from("chat"), ServiceName::from("desk"));
    let mut count = PressureCounter::default();
    count.waited(&chat);
    count.late(&chat);
    count.late(&chat);
    count.refused(&desk);
    count.reported(&chat, 5);
    count.reported(&desk, 0);
    let reported = count.take();
    let chat_counts = PressureCounts {
        waiting: 6,
        late: 2,
        refused: 0,
    };
    let desk_counts = PressureCounts {
        refused: 1,
        ..PressureCounts::default()
    };
    assert_eq!(reported[0].counts, chat_counts);
    assert_eq!(reported[1].counts, desk_counts);
    assert_eq!(reported.len(), 2);
    assert_eq!(count.take(), Vec::new());
}

#[test]
fn a_service_without_pressure_is_not_reported() {
    let mut count = PressureCounter::default();
    count.reported(&"chat".into(), 0);
    assert_eq!(count.take(), Vec::new());
}

#[test]
fn reports_of_others_are_added() {
    let mut first = PressureCounter::default();
    let mut second = PressureCounter::default();
    first.late(&"chat".into());
    second.late(&"chat".into());
    second.waited(&"desk".into());
    let mut sum = PressureCounter::default();
    sum.add_reported(&first.take());
    sum.add_reported(&second.take());
    let sums: Vec<(String, u32)> = sum
        .take()
        .into_iter()
        .map(|pressure| (pressure.service.to_string(), pressure.counts.sum()))
        .collect();
    assert_eq!(sums, [("chat".to_owned(), 2), ("desk".to_owned(), 1)]);
}

#[test]
fn zero_counts_are_not_serialized() {
    let pressure = ServicePressure {
        service: "chat".into(),
        counts: PressureCounts {
            late: 3,
            ..PressureCounts::default()
        },
    };
    let json = serde_json::to_string(&pressure).unwrap();
    assert_eq!(json, r#"{"s":"chat","l":3}"#);
    let decoded: ServicePressure = serde_json::from_str(&json).unwrap();
    assert_eq!(decoded, pressure);
}
