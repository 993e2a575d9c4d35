//! Order, bounds, deadlines and shedding of the admission queue.

use firshore_routing::queue::{AdmissionQueue, Arrival};

const LATER: u64 = 1_000;

#[test]
fn strict_priority_then_first_come() {
    let mut queue = AdmissionQueue::new(10);
    for (priority, item) in [(5, "b1"), (9, "a1"), (1, "c1"), (9, "a2"), (5, "b2")] {
        queue.arrive(priority, LATER, item);
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.depart(0).next).collect();
    assert_eq!(order, ["a1", "a2", "b1", "b2", "c1"]);
}

#[test]
fn a_full_queue_sheds_the_newest_of_the_lowest_priority() {
    // Priorities waiting, priority that arrives, position that is shed or none if it is refused.
    let cases: [(&[u8], u8, Option<usize>); 5] = [
        (&[5, 5], 9, Some(1)),
        (&[1, 9], 5, Some(0)),
        (&[5, 5], 5, None),
        (&[9, 9], 5, None),
        (&[3, 2], 3, Some(1)),
    ];
    for (waiting, arriving, expected) in cases {
        let mut queue = AdmissionQueue::new(waiting.len());
        for (position, priority) in waiting.iter().enumerate() {
            queue.arrive(*priority, LATER, position);
        }
        let shed = match queue.arrive(arriving, LATER, 99) {
            Arrival::QueuedInPlaceOf(_, shed) => Some(shed),
            Arrival::Refused(99) => None,
            other => panic!("{other:?}"),
        };
        assert_eq!(shed, expected, "{waiting:?} {arriving}");
        assert_eq!(queue.len(), waiting.len());
    }
}

#[test]
fn nothing_given_up_is_held_or_run() {
    let mut queue = AdmissionQueue::new(4);
    queue.arrive(9, 10, "late");
    let Arrival::Queued(ticket) = queue.arrive(5, LATER, "withdrawn") else {
        panic!("there was room");
    };
    queue.arrive(1, LATER, "wanted");
    assert_eq!(queue.withdraw(ticket), Some("withdrawn"));
    assert_eq!(queue.withdraw(ticket), None);
    let departure = queue.depart(10);
    assert_eq!(departure.next, Some("wanted"));
    assert_eq!(departure.expired, ["late"]);
    queue.arrive(1, 20, "one");
    queue.arrive(1, 30, "two");
    assert_eq!(queue.expire(20), ["one"]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn the_advice_to_come_back_is_bounded() {
    let mut queue = AdmissionQueue::new(10_000);
    assert_eq!(queue.retry_after_seconds(), 1);
    for number in 0..5_000 {
        queue.arrive(1, u64::MAX, number);
    }
    for step in 1..50 {
        queue.depart(step * 1_000);
    }
    assert_eq!(queue.retry_after_seconds(), 30);
}
