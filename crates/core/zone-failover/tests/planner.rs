//! The allocation: its value against an exhaustive search over all allocations, on small random cases with a fixed
//! seed; the zones' capacities and the classes' allowed zones; the order in which classes are shed; one larger case.

mod common;

use common::class;
use lemonusher_zone_failover::{ClassLoad, ZoneCapacity, allocate};

/// Demands and capacities in whole units of work, so that all allocations can be enumerated.
struct Case {
    classes: Vec<ClassLoad>,
    capacities: Vec<ZoneCapacity>,
}

fn case(rng: &mut fastrand::Rng) -> Case {
    let zones = rng.u32(1..4);
    let class = |rng: &mut fastrand::Rng| {
        let allowed_zones = rng.bool().then(|| (0..zones).filter(|_| rng.bool()).collect::<Vec<u32>>());
        ClassLoad {
            priority_weight: f64::from(rng.u32(1..10)),
            work: f64::from(rng.u32(1..4)),
            rate: f64::from(rng.u32(0..4)),
            latency_objective: f64::from(rng.u32(1..5)),
            deadline: 20.0,
            floor: 0.0,
            allowed_zones,
        }
    };
    let classes = (0..rng.u32(1..4)).map(|_| class(rng)).collect();
    let capacities = (0..zones).map(|zone| ZoneCapacity { zone, work: f64::from(rng.u32(0..8)) }).collect();
    Case { classes, capacities }
}

/// Whether the capacities `left` of the zones can serve the work `wanted` of this class and all after it, in units of
/// work.
fn fits(case: &Case, wanted: &[u32], class: usize, left: &mut Vec<u32>) -> bool {
    if class == wanted.len() {
        return true;
    }
    fn place_in_zones(
        case: &Case,
        wanted: &[u32],
        class: usize,
        zone: usize,
        units: u32,
        left: &mut Vec<u32>,
    ) -> bool {
        if zone == left.len() {
            return units == 0 && fits(case, wanted, class + 1, left);
        }
        let is_allowed =
            case.classes[class].allowed_zones.as_ref().is_none_or(|allowed| allowed.contains(&(zone as u32)));
        let most = if is_allowed { units.min(left[zone]) } else { 0 };
        for placed in 0..=most {
            left[zone] -= placed;
            let found = place_in_zones(case, wanted, class, zone + 1, units - placed, left);
            left[zone] += placed;
            if found {
                return true;
            }
        }
        false
    }
    place_in_zones(case, wanted, class, 0, wanted[class], left)
}

/// The greatest value of any allocation in whole units of work.
fn best(case: &Case) -> f64 {
    let most: Vec<u32> = case.classes.iter().map(|class| class.demand() as u32).collect();
    let (mut wanted, mut best) = (vec![0; most.len()], 0.0f64);
    loop {
        let value: f64 = wanted
            .iter()
            .zip(&case.classes)
            .map(|(units, class)| f64::from(*units) / class.work * class.priority_weight)
            .sum();
        let mut left: Vec<u32> = case.capacities.iter().map(|capacity| capacity.work as u32).collect();
        if value > best && fits(case, &wanted, 0, &mut left) {
            best = value;
        }
        let Some(position) = (0..most.len()).find(|position| wanted[*position] < most[*position]) else {
            return best;
        };
        wanted[..position].fill(0);
        wanted[position] += 1;
    }
}

#[test]
fn allocation_serves_the_most_value_possible() {
    let mut rng = fastrand::Rng::with_seed(11);
    let (mut cases, mut tight) = (0, 0);
    while cases < 1500 {
        let case = case(&mut rng);
        let plan = allocate(&case.classes, &case.capacities);
        let (found, best) = (plan.value(&case.classes), best(&case));
        assert!(found >= best * 0.999 - 1e-6, "{found} of {best}: {:?} {:?}", case.classes, case.capacities);
        assert!(
            found <= best * 1.0001 + 1e-6,
            "more than there is: {:?} {:?}",
            case.classes,
            case.capacities
        );
        cases += 1;
        tight += usize::from(plan.served_shares.iter().any(|share| *share < 0.999));
    }
    println!("proof: sites_plans_against_all_plans {cases}, of which {tight} refuse something");
    assert!(tight > cases / 4);
}

#[test]
fn no_zone_is_overfilled_and_placement_holds() {
    let mut rng = fastrand::Rng::with_seed(12);
    for _ in 0..2000 {
        let case = case(&mut rng);
        let plan = allocate(&case.classes, &case.capacities);
        for (zone, capacity) in case.capacities.iter().enumerate() {
            let used: f64 = plan.flows.iter().map(|flow| flow[zone]).sum();
            assert!(used <= capacity.work + 1e-6);
        }
        for (class, flow) in case.classes.iter().zip(&plan.flows) {
            for (zone, work) in flow.iter().enumerate() {
                let is_allowed =
                    class.allowed_zones.as_ref().is_none_or(|allowed| allowed.contains(&(zone as u32)));
                assert!(*work >= -1e-9 && (is_allowed || *work < 1e-9));
            }
        }
    }
}

#[test]
fn least_value_is_shed_first_and_none_below_its_floor() {
    // The values for each second of work are 10, 2 and 5.
    let classes = [class(10.0, 1.0, 4.0, 0.1), class(8.0, 4.0, 2.0, 0.1), class(5.0, 1.0, 4.0, 0.1)];
    let mut before = vec![1.0; 3];
    for capacity in (1..=17).rev() {
        let capacities = [0, 1].map(|zone| ZoneCapacity { zone, work: f64::from(capacity) / 2.0 });
        let plan = allocate(&classes, &capacities);
        assert_eq!(plan.shed_order, [1, 2, 0]);
        let at_floor = |class: usize| plan.served_shares[class] <= 0.1 + 1e-6;
        // A class is shed only once each class before it in the shed order is at its floor.
        assert!(plan.served_shares[2] > 0.999 || at_floor(1), "{:?}", plan.served_shares);
        assert!(plan.served_shares[0] > 0.999 || (at_floor(1) && at_floor(2)), "{:?}", plan.served_shares);
        for (now, before) in plan.served_shares.iter().zip(&before) {
            assert!(now <= &(before + 1e-6));
        }
        if capacity >= 2 {
            assert!(
                plan.served_shares.iter().all(|share| *share >= 0.1 - 1e-6),
                "{capacity}: {:?}",
                plan.served_shares
            );
        }
        // The allocation raises the capacity limits by an eighth (0.125) of each zone's capacity at a time.
        assert!((plan.utilization[0] - plan.utilization[1]).abs() < 0.13, "uneven: {:?}", plan.utilization);
        before = plan.served_shares;
    }
}

#[test]
fn unplaceable_class_is_reported_and_takes_no_capacity() {
    let mut one_zone_class = class(100.0, 1.0, 5.0, 0.1);
    one_zone_class.allowed_zones = Some(vec![0]);
    let lost = [ZoneCapacity { zone: 0, work: 0.0 }, ZoneCapacity { zone: 1, work: 3.0 }];
    let plan = allocate(&[one_zone_class, class(1.0, 1.0, 3.0, 0.1)], &lost);
    assert_eq!((plan.unplaceable_shares[0], plan.served_shares[0]), (1.0, 0.0));
    assert!(plan.served_shares[1] > 0.999 && plan.unplaceable_shares[1] == 0.0);
}

#[test]
fn ten_zones_and_fifty_classes_are_allocated_quickly() {
    let mut rng = fastrand::Rng::with_seed(13);
    let classes: Vec<ClassLoad> = (0..50)
        .map(|_| {
            let mut load = class(rng.f64() * 10.0, 0.05 + rng.f64() * 5.0, rng.f64() * 400.0, 0.05);
            load.allowed_zones = (rng.f64() < 0.3).then(|| (0..10).filter(|_| rng.bool()).collect());
            load
        })
        .collect();
    let zones: Vec<ZoneCapacity> =
        (0..10).map(|zone| ZoneCapacity { zone, work: 8.0 * 40.0 * (0.5 + rng.f64()) }).collect();
    // The time of the allocation is printed, but has no limit here.
    let from = std::time::Instant::now();
    let plan = allocate(&classes, &zones);
    println!("proof: sites_plan_of_10_sites_50_groups {:?}", from.elapsed());
    assert!(plan.utilization.iter().all(|share| *share <= 1.0 + 1e-6));
}
