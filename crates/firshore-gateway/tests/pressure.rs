//! How online requests press on services, as counted and as it travels.

use firshore_gateway::pressure::{PressureCounter, PressureCounts, ServicePressure};
use firshore_types::ids::ServiceName;

#[test]
fn what_pressed_is_told_once() {
    let (chat, desk) = (ServiceName::from("chat"), ServiceName::from("desk"));
    let mut count = PressureCounter::default();
    count.waited(&chat);
    count.late(&chat);
    count.late(&chat);
    count.refused(&desk);
    count.reported(&chat, 5);
    count.reported(&desk, 0);
    let told = count.take();
    let chat_figure = PressureCounts {
        waiting: 6,
        late: 2,
        refused: 0,
    };
    let desk_figure = PressureCounts {
        refused: 1,
        ..PressureCounts::default()
    };
    assert_eq!(told[0].counts, chat_figure);
    assert_eq!(told[1].counts, desk_figure);
    assert_eq!(told.len(), 2);
    assert_eq!(count.take(), Vec::new());
}

#[test]
fn a_service_on_which_nothing_presses_is_not_told() {
    let mut count = PressureCounter::default();
    count.reported(&"chat".into(), 0);
    assert_eq!(count.take(), Vec::new());
}

#[test]
fn what_others_told_adds_up() {
    let mut one = PressureCounter::default();
    let mut other = PressureCounter::default();
    one.late(&"chat".into());
    other.late(&"chat".into());
    other.waited(&"desk".into());
    let mut sum = PressureCounter::default();
    sum.add_reported(&one.take());
    sum.add_reported(&other.take());
    let sums: Vec<(String, u32)> = sum
        .take()
        .into_iter()
        .map(|one| (one.service.to_string(), one.counts.sum()))
        .collect();
    assert_eq!(sums, [("chat".to_owned(), 2), ("desk".to_owned(), 1)]);
}

#[test]
fn figures_of_zero_do_not_travel() {
    let pressure = ServicePressure {
        service: "chat".into(),
        counts: PressureCounts {
            late: 3,
            ..PressureCounts::default()
        },
    };
    let text = serde_json::to_string(&pressure).unwrap();
    assert_eq!(text, r#"{"s":"chat","l":3}"#);
    let read: ServicePressure = serde_json::from_str(&text).unwrap();
    assert_eq!(read, pressure);
}
