use super::*;

#[test]
fn reservations_together_are_bounded_and_given_back() {
    let budget = MemoryBudget::new(10);
    let (mut one, mut other) = (Reservation::new(budget.clone()), Reservation::new(budget.clone()));
    assert!(one.resize(6) && other.resize(4) && !other.resize(5));
    assert!(one.resize(5) && other.resize(5) && !one.resize(6));
    drop(other);
    assert!(one.resize(10) && !one.resize(11));
}
