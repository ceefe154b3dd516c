//! Tests that each sequence number of a sender is accepted once, in any order within the window.

use lemonusher_fleet::ReplayWindow;
use std::collections::BTreeSet;

#[test]
fn numbers_are_accepted_once_in_any_order() {
    let mut window = ReplayWindow::default();
    let (odd, even): (Vec<u64>, Vec<u64>) = (1..=ReplayWindow::MAX_LAG).partition(|number| number % 2 == 1);
    assert!(even.iter().rev().chain(&odd).all(|number| window.accept(*number)));
    assert!(!even.iter().chain(&odd).any(|number| window.accept(*number)));
}

#[test]
fn a_number_beyond_the_reach_counts_as_received() {
    let mut window = ReplayWindow::default();
    assert!(window.accept(10 + ReplayWindow::MAX_LAG));
    assert!(!window.accept(9));
    assert!(window.accept(10));
    assert!(!window.accept(0));
}

/// Compares the window with a plain set of all numbers, for steps from one up to several times the window.
#[test]
fn it_agrees_with_a_set_of_all_numbers_within_its_reach() {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut window, mut received, mut highest) = (ReplayWindow::default(), BTreeSet::new(), 0);
    for _ in 0..100_000 {
        let ahead = if rng.u8(..) < 8 { rng.u64(1..3_000) } else { rng.u64(1..4) };
        let number = if rng.bool() { highest + ahead } else { rng.u64(1..=highest.max(1)) };
        let near = number + ReplayWindow::MAX_LAG >= highest;
        let is_new = near && received.insert(number);
        assert_eq!(window.accept(number), is_new, "{number} after {highest}");
        highest = highest.max(number);
    }
}
