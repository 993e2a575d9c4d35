//! Tests the order, bounds, deadlines and shedding of the admission queue.

use firshore_routing::queue::{AdmissionQueue, EnqueueResult};

const DEADLINE: u64 = 1_000;

#[test]
fn dequeues_by_priority_then_arrival() {
    let mut queue = AdmissionQueue::new(10);
    for (priority, item) in [(5, "b1"), (9, "a1"), (1, "c1"), (9, "a2"), (5, "b2")] {
        queue.enqueue(priority, DEADLINE, item);
    }
    let items: Vec<_> = std::iter::from_fn(|| queue.dequeue(0).next).collect();
    assert_eq!(items, ["a1", "a2", "b1", "b2", "c1"]);
}

#[test]
fn full_queue_sheds_newest_of_lowest_priority() {
    // Queued priorities, arriving priority, and the position that is shed (`None`: refused).
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
            queue.enqueue(*priority, DEADLINE, position);
        }
        let shed = match queue.enqueue(arriving, DEADLINE, 99) {
            EnqueueResult::QueuedInPlaceOf(_, shed) => Some(shed),
            EnqueueResult::Refused(99) => None,
            other => panic!("{other:?}"),
        };
        assert_eq!(shed, expected, "{waiting:?} {arriving}");
        assert_eq!(queue.len(), waiting.len());
    }
}

#[test]
fn cancelled_and_expired_entries_are_removed() {
    let mut queue = AdmissionQueue::new(4);
    queue.enqueue(9, 10, "late");
    let EnqueueResult::Queued(ticket) = queue.enqueue(5, DEADLINE, "withdrawn") else {
        panic!("the queue has free capacity");
    };
    queue.enqueue(1, DEADLINE, "wanted");
    assert_eq!(queue.remove(ticket), Some("withdrawn"));
    assert_eq!(queue.remove(ticket), None);
    let departure = queue.dequeue(10);
    assert_eq!(departure.next, Some("wanted"));
    assert_eq!(departure.expired, ["late"]);
    queue.enqueue(1, 20, "one");
    queue.enqueue(1, 30, "two");
    assert_eq!(queue.remove_expired(20), ["one"]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn retry_after_is_bounded() {
    let mut queue = AdmissionQueue::new(10_000);
    assert_eq!(queue.retry_after_seconds(), 1);
    for number in 0..5_000 {
        queue.enqueue(1, u64::MAX, number);
    }
    for step in 1..50 {
        queue.dequeue(step * 1_000);
    }
    assert_eq!(queue.retry_after_seconds(), 30);
}
