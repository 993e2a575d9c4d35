//! The hollow gateway and relay of the experiment `fleet-size`, at small sizes: unreadable entries name no back end.

use firshore_lab::experiment::fleet_size::HollowFleet;

#[test]
fn hollow_fleets_of_several_sizes_know_all_readable_entries() {
    for size in [100, 500, 1_000] {
        let (fleet, cost) = HollowFleet::measure(size, 1).unwrap();
        assert_eq!(
            fleet.known(),
            size - HollowFleet::unreadable(size),
            "{size}"
        );
        for (name, _, value) in cost.figures() {
            assert!(value.is_finite(), "{name} at {size}");
        }
    }
}
