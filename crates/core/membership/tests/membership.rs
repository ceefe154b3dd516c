//! The table against a plain reference, through any order of lists and wishes; the door against counts.

use lemonusher::{EndpointUpdateKind, EngineEntry, EngineState, Idempotency};
use lemonusher_membership::{
    AdminState, AdmissionLimiter, DesiredState, EndpointStatus, EndpointTable, Limit, Pool, ZoneRestriction,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const GROUPS: usize = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn an_entry() -> impl Strategy<Value = EngineEntry> {
    (0..6u32, 0..2u32, 0..3u32, 0..2u32, 0..3u8, 0..4u64).prop_map(
        |(engine, location, cell, kind, state, s)| {
            let state = [EngineState::Active, EngineState::Draining, EngineState::Removed][state as usize];
            EngineEntry {
                engine,
                zone: location,
                cell,
                machine_kind: kind,
                state,
                started_at: ms(s),
                blocked_classes: 0,
            }
        },
    )
}

fn a_pool() -> impl Strategy<Value = Pool> {
    let few = |most: u32| prop::collection::btree_set(0..most, 0..2);
    let admin = prop::sample::select(vec![AdminState::Enabled, AdminState::Draining, AdminState::Disabled]);
    (admin, few(2), few(2), few(3), few(6), prop::collection::btree_set(0..GROUPS, 0..3)).prop_map(
        |(admin, locations, kinds, cells, engines, serves)| {
            let name = String::new();
            Pool {
                name,
                admin,
                zones: locations,
                machine_kinds: kinds,
                cells,
                engines,
                request_classes: serves,
            }
        },
    )
}

#[derive(Debug, Clone)]
enum Step {
    List(u8, Vec<EngineEntry>),
    Manage(Vec<Pool>),
}

fn a_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3u8, prop::collection::vec(an_entry(), 0..4)).prop_map(|(kind, list)| Step::List(kind, list)),
        prop::collection::vec(a_pool(), 0..4).prop_map(Step::Manage),
    ]
}

/// The written rule, word for word.
fn barred(pools: &[Pool], entry: &EngineEntry) -> (AdminState, u64) {
    let mine: Vec<&Pool> = pools.iter().filter(|pool| pool.matches(entry)).collect();
    let admin = mine.iter().map(|pool| pool.admin).max().unwrap_or_default();
    let naming: Vec<&&Pool> = mine.iter().filter(|pool| !pool.request_classes.is_empty()).collect();
    let mut bits = 0;
    for group in 0..64 {
        let served = naming.is_empty() || naming.iter().any(|pool| pool.request_classes.contains(&group));
        if admin != AdminState::Enabled || !served {
            bits |= 1 << group;
        }
    }
    (admin, bits)
}

proptest! {
    #[test]
    fn what_the_gateway_is_told_is_always_the_rule(steps in prop::collection::vec(a_step(), 1..24)) {
        let mut table = EndpointTable::default();
        let mut pools: Vec<Pool> = Vec::new();
        let mut told: BTreeMap<u32, EngineEntry> = BTreeMap::new(); // As the gateway would have it.
        let mut listed: BTreeMap<u32, EngineEntry> = BTreeMap::new();
        for step in steps {
            let change = match step {
                Step::List(kind, entries) => {
                    let kind = [EndpointUpdateKind::Delta, EndpointUpdateKind::Full, EndpointUpdateKind::Restored][kind as usize];
                    if kind != EndpointUpdateKind::Delta {
                        told.clear();
                        listed.clear();
                    }
                    for entry in &entries {
                        listed.insert(entry.engine, entry.clone());
                    }
                    let change = table.apply_list(kind, entries.clone());
                    prop_assert_eq!(change.entries.len(), entries.len());
                    change
                }
                Step::Manage(next) => {
                    let before: Vec<(u32, AdminState)> =
                        table.engines().map(|seen| (seen.entry.engine, seen.admin)).collect();
                    pools = next.clone();
                    let change = table.apply_desired_state(Arc::new(DesiredState::new(next, Vec::new())));
                    let newly: Vec<u32> = before.into_iter()
                        .filter(|(engine, admin)| {
                            let now = barred(&pools, &listed[engine]).0;
                            now == AdminState::Disabled && *admin != AdminState::Disabled
                        })
                        .map(|(engine, _)| engine)
                        .collect();
                    prop_assert_eq!(&change.recalled, &newly);
                    // A manager never brings in what the list doesn't hold, nor another state.
                    for entry in &change.entries {
                        prop_assert_eq!(entry.state, listed[&entry.engine].state);
                        prop_assert!(entry.state != EngineState::Removed);
                    }
                    change
                }
            };
            for entry in change.entries {
                told.insert(entry.engine, entry);
            }
            listed.retain(|_, entry| entry.state != EngineState::Removed);
            told.retain(|_, entry| entry.state != EngineState::Removed);
            let wanted: BTreeMap<u32, EngineEntry> = listed.iter()
                .map(|(id, entry)| (*id, EngineEntry { blocked_classes: barred(&pools, entry).1, ..entry.clone() }))
                .collect();
            prop_assert_eq!(&told, &wanted);
            prop_assert_eq!(table.len(), wanted.len());
        }
    }

    /// Never more open than allowed, but what was open before the limit came down; and each promise lies
    /// between the least time and the longest.
    #[test]
    fn the_door_counts_and_promises(
        steps in prop::collection::vec((0..4u8, 0..GROUPS, 0..500u64), 1..200),
        most in 1..5u32,
    ) {
        let (least, longest) = (ms(100), ms(2000));
        let mut door = AdmissionLimiter::new(GROUPS, longest);
        let limit = Limit { max_open: most, retry_after: least, max_retry_after: ms(1500) };
        door.set(&[Some(limit), None, Some(limit)]);
        let (mut open, mut now) = ([0u32; GROUPS], Duration::ZERO);
        for (what, group, later) in steps {
            now += ms(later);
            if what == 0 && open[group] > 0 {
                door.release(now, group);
                open[group] -= 1;
            } else {
                match door.admit(now, group) {
                    Ok(()) => open[group] += 1,
                    Err(wait) => {
                        prop_assert!(group != 1 && open[group] == most);
                        prop_assert!(wait >= least && wait <= ms(1500), "{:?}", wait);
                    }
                }
            }
            prop_assert_eq!(door.open(group), open[group]);
            prop_assert!(group == 1 || open[group] <= most);
        }
    }
}

#[test]
fn promises_follow_the_pace_at_which_places_come_free() {
    let mut door = AdmissionLimiter::new(1, ms(10_000));
    door.set(&[Some(Limit { max_open: 2, retry_after: ms(100), max_retry_after: ms(20_000) })]);
    assert!(door.admit(ms(0), 0).is_ok() && door.admit(ms(0), 0).is_ok());
    // One place each 200 ms, for long.
    for turn in 1..100 {
        door.release(ms(200 * turn), 0);
        assert!(door.admit(ms(200 * turn), 0).is_ok());
    }
    let waits: Vec<Duration> = (0..5).map(|_| door.admit(ms(19_850), 0).unwrap_err()).collect();
    for pair in waits.windows(2) {
        let gap = (pair[1] - pair[0]).as_secs_f64() / 0.2;
        assert!((0.5..1.5).contains(&gap), "{waits:?}");
    }
}

#[test]
fn only_work_that_may_run_again_is_recalled() {
    assert!(AdminState::Disabled.recalls(Idempotency::Idempotent));
    assert!(!AdminState::Disabled.recalls(Idempotency::NonIdempotent));
    assert!(!AdminState::Draining.recalls(Idempotency::Idempotent));
}

#[test]
fn a_closure_bars_the_same_part_at_every_front_and_opens_again_with_what_managers_wish() {
    let entry = |engine: u32| EngineEntry { engine, zone: engine % 2, ..EngineEntry::default() };
    let mut table = EndpointTable::default();
    table.apply_list(EndpointUpdateKind::Full, (0..400).map(entry).collect());
    let closed = table.apply_restrictions(vec![ZoneRestriction {
        zone: 1,
        open_permille: 250,
        blocked_classes: 0b10,
    }]);
    let open = |table: &EndpointTable, location: u32| {
        table.engines().filter(|seen| seen.entry.zone == location && seen.is_open()).count()
    };
    assert_eq!((closed.entries.len(), open(&table, 0)), (200, 200));
    assert!((35..=65).contains(&open(&table, 1)), "{}", open(&table, 1));
    assert!(
        table.engines().filter(|s| s.entry.zone == 1 && s.is_open()).all(|s| s.entry.blocked_classes == 0b10)
    );
    // What is open at first stays open as more is opened.
    let first: Vec<u32> = table.engines().filter(|s| s.is_open()).map(|s| s.entry.engine).collect();
    table.apply_restrictions(vec![ZoneRestriction { zone: 1, open_permille: 500, blocked_classes: 0 }]);
    assert!(first.iter().all(|engine| table.get(*engine).is_some_and(EndpointStatus::is_open)));
    // An engine that is listed meanwhile is under it as well.
    table.apply_list(EndpointUpdateKind::Delta, (400..600).map(entry).collect());
    assert!((120..=180).contains(&open(&table, 1)), "{}", open(&table, 1));
    table.apply_restrictions(Vec::new());
    assert_eq!(open(&table, 1), 300);
}
