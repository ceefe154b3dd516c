use super::*;

#[test]
fn what_is_held_together_is_bounded_and_comes_back() {
    let room = Room::new(10);
    let (mut one, mut other) = (Place::new(room.clone()), Place::new(room.clone()));
    assert!(one.set(6) && other.set(4) && !other.set(5));
    assert!(one.set(5) && other.set(5) && !one.set(6));
    drop(other);
    assert!(one.set(10) && !one.set(11));
}
