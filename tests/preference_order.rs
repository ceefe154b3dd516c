//! Preference orders of table groups: hashed, cached up to a limit, and reversed or rotated.

#[path = "../src/endpoint.rs"]
#[allow(dead_code)]
mod endpoint;
#[path = "../src/preference_order.rs"]
#[allow(dead_code)]
mod preference_order;
#[path = "../src/random.rs"]
#[allow(dead_code)]
mod random;

use preference_order::{MAX_TABLE_GROUPS, PreferenceOrder, PreferenceOrders};
use random::mix;
use std::cmp::Reverse;

const ENGINES: u32 = 37;

/// The order according to its definition.
fn sorted(table_group: u64) -> Vec<usize> {
    let mut slots: Vec<usize> = (0..ENGINES as usize).collect();
    slots.sort_by_key(|slot| Reverse(mix(table_group ^ mix(*slot as u64 * 3 + 1))));
    slots
}

fn order(orders: &mut PreferenceOrders, table_group: u64) -> Vec<usize> {
    let order = orders.of(table_group, (0..ENGINES).map(|slot| slot * 3));
    PreferenceOrder::new(order, false).slots().collect()
}

#[test]
fn an_order_is_hashed_from_ids_also_when_cached() {
    let mut orders = PreferenceOrders::default();
    for table_group in [0, 1, 77, u64::MAX] {
        assert_eq!(order(&mut orders, table_group), sorted(table_group));
        assert_eq!(order(&mut orders, table_group), sorted(table_group));
    }
}

#[test]
fn a_preference_order_is_the_reversed_order_with_its_prefix_rotated() {
    let mut orders = PreferenceOrders::default();
    for (part, places) in [(0, 5), (1, 5), (19, 0), (19, 7), (19, 40), (37, 36), (50, 3)] {
        for reversed in [false, true] {
            let mut expected = sorted(9);
            if reversed {
                expected.reverse();
            }
            let part = usize::min(part, expected.len());
            expected[..part].rotate_left(places % part.max(1));
            let order = orders.of(9, (0..ENGINES).map(|slot| slot * 3));
            let walk = PreferenceOrder::new(order, reversed).rotate_prefix(part, places);
            assert_eq!(walk.slots().collect::<Vec<_>>(), expected, "{part} {places} {reversed}");
        }
    }
}

#[test]
fn the_least_recently_used_order_goes_first_and_the_number_is_bounded() {
    let mut orders = PreferenceOrders::default();
    for table_group in 0..MAX_TABLE_GROUPS as u64 {
        order(&mut orders, table_group);
    }
    order(&mut orders, 0);
    order(&mut orders, 1 << 40);
    // A cached order needs no ids; an evicted one is computed again from the (empty) ids.
    let kept = |orders: &mut PreferenceOrders, table_group| orders.of(table_group, std::iter::empty()).len();
    assert_eq!(kept(&mut orders, 0), ENGINES as usize);
    assert_eq!(kept(&mut orders, 1 << 40), ENGINES as usize);
    assert_eq!(kept(&mut orders, 1), 0);
    orders.clear();
    assert_eq!(kept(&mut orders, 0), 0);
    assert_eq!(order(&mut orders, 2), sorted(2));
}
