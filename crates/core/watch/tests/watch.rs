//! Tests that a subscriber that applies each notification it is sent ends with the current state of the tree, even if
//! other notifications did not fit its room; and tests of intervals, overlapping subscriptions and room.

use lemonusher_model::{Node, Op, Pattern, Schema, Tree, parse_path};
use lemonusher_watch::{Leaves, Notification, Subscription, SubscriptionMode, Watch, leaves};
use proptest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn patterns(schema: &Schema, path: &str) -> Vec<Pattern> {
    schema.patterns(&parse_path(path).unwrap()).unwrap()
}

fn change(schema: &Schema, tree: &mut Tree, pool: u8, cell: u8, remove: bool) {
    let path = match remove {
        true => format!("/front/pool[name=p{pool}]"),
        false => format!("/front/pool[name=p{pool}]/cell[.={cell}]"),
    };
    let place = schema.place(&parse_path(&path).unwrap()).unwrap();
    let (op, value) = match remove {
        true => (Op::Remove, None),
        false => (Op::Merge, Some(Node::Leaf(cell.to_string().into()))),
    };
    tree.apply(schema, op, &place, value.as_ref()).unwrap();
}

fn apply(mirror: &mut Leaves, notification: Notification) {
    for place in notification.deletes {
        assert!(mirror.remove(&place).is_some());
    }
    mirror.extend(notification.updates.into_iter().map(|update| (update.place, update.value)));
}

proptest! {
    #[test]
    fn mirror_of_all_notifications_equals_the_tree(
        steps in prop::collection::vec((0..3u8, 0..3u8, prop::bool::weighted(0.3), any::<bool>(), 0..300u64), 1..40),
        suppress_redundant in any::<bool>(),
    ) {
        let schema = Schema::front().unwrap();
        let all = patterns(&schema, "/front/pool");
        for mode in [SubscriptionMode::OnChange, SubscriptionMode::Sample { sample_interval: ms(100), suppress_redundant }] {
            let mut now = ms(0);
            let subscription = Subscription { patterns: all.clone(), mode, heartbeat_interval: None };
            let mut watch = Watch::new(vec![subscription], now);
            let (mut tree, mut mirror) = (Tree::default(), Leaves::new());
            apply(&mut mirror, watch.initial(&tree, false));
            let mut starved = false;
            for (pool, cell, remove, room, wait) in &steps {
                let before = tree.clone();
                change(&schema, &mut tree, *pool, *cell, *remove);
                now += ms(*wait);
                let lost = watch.lost_updates();
                for notification in watch.poll(now, &tree, if *room { usize::MAX } else { 0 }) {
                    apply(&mut mirror, notification);
                }
                if mode == SubscriptionMode::OnChange {
                    if *room {
                        prop_assert_eq!(&mirror, &leaves(&tree, &all));
                        prop_assert!(!watch.has_backlog());
                    } else if before != tree && !starved {
                        prop_assert!(watch.lost_updates() > lost);
                    }
                    starved = !room;
                }
                prop_assert!(!room || watch.lost_updates() == lost);
            }
            for notification in watch.poll(now + ms(500), &tree, usize::MAX) {
                apply(&mut mirror, notification);
            }
            prop_assert_eq!(&mirror, &leaves(&tree, &all));
        }
    }
}

/// Guards against heartbeats that move samples on, so that none comes due.
#[test]
fn samples_and_heartbeats_keep_their_intervals() {
    let schema = Schema::front().unwrap();
    let mut tree = Tree::default();
    change(&schema, &mut tree, 0, 1, false);
    let subscription = |mode, heartbeat_interval| Subscription {
        patterns: patterns(&schema, "/front/pool"),
        mode,
        heartbeat_interval,
    };
    let sample =
        |suppress_redundant| SubscriptionMode::Sample { sample_interval: ms(100), suppress_redundant };
    // (mode, heartbeat interval, number of updates in 10 s with a poll each 10 ms; name and cell are two
    // updates)
    for (mode, heartbeat, expected) in [
        (sample(false), None, 200),
        (sample(true), None, 0),
        (sample(true), Some(ms(1000)), 20),
        // 100 samples and 142 heartbeats, 14 of which are due together.
        (sample(false), Some(ms(70)), 456),
        (SubscriptionMode::OnChange, None, 0),
        (SubscriptionMode::OnChange, Some(ms(2500)), 8),
    ] {
        let mut watch = Watch::new(vec![subscription(mode, heartbeat)], ms(0));
        assert_eq!(watch.initial(&tree, false).updates.len(), 2);
        let mut updates = 0;
        for step in 1..=1000 {
            for notification in watch.poll(ms(step * 10), &tree, usize::MAX) {
                updates += notification.updates.len();
            }
        }
        assert_eq!(updates, expected, "{mode:?} {heartbeat:?}");
        assert_eq!(watch.next_timeout().is_some(), mode != SubscriptionMode::OnChange || heartbeat.is_some());
    }
}

#[test]
fn missed_sample_intervals_are_skipped() {
    let schema = Schema::front().unwrap();
    let mut tree = Tree::default();
    change(&schema, &mut tree, 0, 1, false);
    let mode = SubscriptionMode::Sample { sample_interval: ms(100), suppress_redundant: false };
    let mut watch = Watch::new(
        vec![Subscription { patterns: patterns(&schema, "/front/pool"), mode, heartbeat_interval: None }],
        ms(0),
    );
    assert_eq!(watch.poll(ms(5000), &tree, usize::MAX).len(), 1);
    assert!(watch.poll(ms(5050), &tree, usize::MAX).is_empty());
    assert_eq!(watch.next_timeout(), Some(ms(5100)));
}

#[test]
fn overlapping_subscriptions_send_the_initial_state_once() {
    let schema = Schema::front().unwrap();
    let mut tree = Tree::default();
    change(&schema, &mut tree, 0, 1, false);
    let subscription = |path: &str| Subscription {
        patterns: patterns(&schema, path),
        mode: SubscriptionMode::OnChange,
        heartbeat_interval: None,
    };
    let mut watch = Watch::new(vec![subscription("/front"), subscription("/front/pool/cell")], ms(0));
    assert_eq!(watch.initial(&tree, false).updates.len(), 2);
    let mut watch = Watch::new(vec![subscription("/front")], ms(0));
    assert!(watch.initial(&tree, true).is_empty());
    assert!(watch.poll(ms(1), &tree, usize::MAX).is_empty());
}

#[test]
fn notification_that_exceeds_the_room_is_not_sent_in_part() {
    let schema = Schema::front().unwrap();
    let mut tree = Tree::default();
    let subscription = Subscription {
        patterns: patterns(&schema, "/front/pool"),
        mode: SubscriptionMode::OnChange,
        heartbeat_interval: None,
    };
    let mut watch = Watch::new(vec![subscription], ms(0));
    watch.initial(&tree, false);
    (0..3).for_each(|cell| change(&schema, &mut tree, 0, cell, false));
    (0..3).for_each(|pool| change(&schema, &mut tree, pool, 1, false));
    assert!(watch.poll(ms(1), &tree, 3).is_empty() && watch.has_backlog());
    assert_eq!(watch.lost_updates(), 6);
    let notifications = watch.poll(ms(2), &tree, 6);
    assert!(notifications.len() == 1 && notifications[0].updates.len() == 6 && !watch.has_backlog());
    assert_eq!(watch.lost_updates(), 6);
}
