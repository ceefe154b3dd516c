//! Tests that compare the endpoint table with a plain reference, for any order of list updates and desired
//! states, and the admission limiter with plain counts; and tests of Retry-After, recalls and zone restrictions.

use lemonusher::{EndpointUpdateKind, EngineEntry, EngineState, Idempotency};
use lemonusher_membership::{
    AdminState, AdmissionLimiter, DesiredState, EndpointStatus, EndpointTable, Limit, Pool, ZoneRestriction,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const REQUEST_CLASSES: usize = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry_strategy() -> impl Strategy<Value = EngineEntry> {
    (0..6u32, 0..2u32, 0..3u32, 0..2u32, 0..3u8, 0..4u64).prop_map(|(engine, zone, cell, kind, state, s)| {
        let state = [EngineState::Active, EngineState::Draining, EngineState::Removed][state as usize];
        EngineEntry { engine, zone, cell, machine_kind: kind, state, started_at: ms(s), blocked_classes: 0 }
    })
}

fn pool_strategy() -> impl Strategy<Value = Pool> {
    let few = |most: u32| prop::collection::btree_set(0..most, 0..2);
    let admin = prop::sample::select(vec![AdminState::Enabled, AdminState::Draining, AdminState::Disabled]);
    (admin, few(2), few(2), few(3), few(6), prop::collection::btree_set(0..REQUEST_CLASSES, 0..3)).prop_map(
        |(admin, zones, kinds, cells, engines, serves)| {
            let name = String::new();
            Pool { name, admin, zones, machine_kinds: kinds, cells, engines, request_classes: serves }
        },
    )
}

#[derive(Debug, Clone)]
enum Step {
    List(u8, Vec<EngineEntry>),
    SetPools(Vec<Pool>),
}

fn step_strategy() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3u8, prop::collection::vec(entry_strategy(), 0..4))
            .prop_map(|(kind, list)| Step::List(kind, list)),
        prop::collection::vec(pool_strategy(), 0..4).prop_map(Step::SetPools),
    ]
}

/// A plain implementation of rules 2 and 3 of `lib.rs`.
fn reference_admission(pools: &[Pool], entry: &EngineEntry) -> (AdminState, u64) {
    let matching: Vec<&Pool> = pools.iter().filter(|pool| pool.matches(entry)).collect();
    let admin = matching.iter().map(|pool| pool.admin).max().unwrap_or_default();
    let with_classes: Vec<&&Pool> = matching.iter().filter(|pool| !pool.request_classes.is_empty()).collect();
    let mut bits = 0;
    for class in 0..64 {
        let served =
            with_classes.is_empty() || with_classes.iter().any(|pool| pool.request_classes.contains(&class));
        if admin != AdminState::Enabled || !served {
            bits |= 1 << class;
        }
    }
    (admin, bits)
}

proptest! {
    #[test]
    fn any_order_of_lists_and_desired_states_follows_the_rule(steps in prop::collection::vec(step_strategy(), 1..24)) {
        let mut table = EndpointTable::default();
        let mut pools: Vec<Pool> = Vec::new();
        let mut notified: BTreeMap<u32, EngineEntry> = BTreeMap::new(); // Entries that the gateway was notified of.
        let mut listed: BTreeMap<u32, EngineEntry> = BTreeMap::new();
        for step in steps {
            let change = match step {
                Step::List(kind, entries) => {
                    let kind = [EndpointUpdateKind::Delta, EndpointUpdateKind::Full, EndpointUpdateKind::Restored][kind as usize];
                    if kind != EndpointUpdateKind::Delta {
                        notified.clear();
                        listed.clear();
                    }
                    for entry in &entries {
                        listed.insert(entry.engine, entry.clone());
                    }
                    let change = table.apply_list(kind, entries.clone());
                    prop_assert_eq!(change.entries.len(), entries.len());
                    change
                }
                Step::SetPools(next) => {
                    let before: Vec<(u32, AdminState)> =
                        table.engines().map(|seen| (seen.entry.engine, seen.admin)).collect();
                    pools = next.clone();
                    let change = table.apply_desired_state(Arc::new(DesiredState::new(next, Vec::new())));
                    let expected_recalled: Vec<u32> = before.into_iter()
                        .filter(|(engine, admin)| {
                            let now = reference_admission(&pools, &listed[engine]).0;
                            now == AdminState::Disabled && *admin != AdminState::Disabled
                        })
                        .map(|(engine, _)| engine)
                        .collect();
                    prop_assert_eq!(&change.recalled, &expected_recalled);
                    // A desired state adds no engine that the list does not contain, and changes no engine's
                    // state.
                    for entry in &change.entries {
                        prop_assert_eq!(entry.state, listed[&entry.engine].state);
                        prop_assert!(entry.state != EngineState::Removed);
                    }
                    change
                }
            };
            for entry in change.entries {
                notified.insert(entry.engine, entry);
            }
            listed.retain(|_, entry| entry.state != EngineState::Removed);
            notified.retain(|_, entry| entry.state != EngineState::Removed);
            let expected: BTreeMap<u32, EngineEntry> = listed.iter()
                .map(|(id, entry)| (*id, EngineEntry { blocked_classes: reference_admission(&pools, entry).1, ..entry.clone() }))
                .collect();
            prop_assert_eq!(&notified, &expected);
            prop_assert_eq!(table.len(), expected.len());
        }
    }

    /// No more requests are open than the limit allows, and each Retry-After lies between the minimum and the
    /// maximum.
    #[test]
    fn limiter_counts_open_requests_and_bounds_retry_after(
        steps in prop::collection::vec((0..4u8, 0..REQUEST_CLASSES, 0..500u64), 1..200),
        most in 1..5u32,
    ) {
        let (retry_after, longest) = (ms(100), ms(2000));
        let mut limiter = AdmissionLimiter::new(REQUEST_CLASSES, longest);
        let limit = Limit { max_open: most, retry_after, max_retry_after: ms(1500) };
        limiter.set(&[Some(limit), None, Some(limit)]);
        let (mut open, mut now) = ([0u32; REQUEST_CLASSES], Duration::ZERO);
        for (what, class, later) in steps {
            now += ms(later);
            if what == 0 && open[class] > 0 {
                limiter.release(now, class);
                open[class] -= 1;
            } else {
                match limiter.admit(now, class) {
                    Ok(()) => open[class] += 1,
                    Err(wait) => {
                        prop_assert!(class != 1 && open[class] == most);
                        prop_assert!(wait >= retry_after && wait <= ms(1500), "{:?}", wait);
                    }
                }
            }
            prop_assert_eq!(limiter.open(class), open[class]);
            prop_assert!(class == 1 || open[class] <= most);
        }
    }
}

#[test]
fn retry_after_follows_the_release_rate() {
    let mut limiter = AdmissionLimiter::new(1, ms(10_000));
    limiter.set(&[Some(Limit { max_open: 2, retry_after: ms(100), max_retry_after: ms(20_000) })]);
    assert!(limiter.admit(ms(0), 0).is_ok() && limiter.admit(ms(0), 0).is_ok());
    // One open request ends each 200 ms, long enough for the average rate to converge.
    for step in 1..100 {
        limiter.release(ms(200 * step), 0);
        assert!(limiter.admit(ms(200 * step), 0).is_ok());
    }
    let waits: Vec<Duration> = (0..5).map(|_| limiter.admit(ms(19_850), 0).unwrap_err()).collect();
    for pair in waits.windows(2) {
        let gap = (pair[1] - pair[0]).as_secs_f64() / 0.2;
        assert!((0.5..1.5).contains(&gap), "{waits:?}");
    }
}

#[test]
fn only_idempotent_attempts_of_disabled_engines_are_recalled() {
    assert!(AdminState::Disabled.recalls(Idempotency::Idempotent));
    assert!(!AdminState::Disabled.recalls(Idempotency::NonIdempotent));
    assert!(!AdminState::Draining.recalls(Idempotency::Idempotent));
}

#[test]
fn zone_restriction_opens_a_stable_part_and_is_lifted_by_the_plan() {
    let entry = |engine: u32| EngineEntry { engine, zone: engine % 2, ..EngineEntry::default() };
    let mut table = EndpointTable::default();
    table.apply_list(EndpointUpdateKind::Full, (0..400).map(entry).collect());
    let change = table.apply_restrictions(vec![ZoneRestriction {
        zone: 1,
        open_permille: 250,
        blocked_classes: 0b10,
    }]);
    let open = |table: &EndpointTable, zone: u32| {
        table.engines().filter(|seen| seen.entry.zone == zone && seen.is_open()).count()
    };
    assert_eq!((change.entries.len(), open(&table, 0)), (200, 200));
    // A quarter of the zone's 200 engines is 50; the hash spreads ids over the shares only about evenly.
    assert!((35..=65).contains(&open(&table, 1)), "{}", open(&table, 1));
    assert!(
        table.engines().filter(|s| s.entry.zone == 1 && s.is_open()).all(|s| s.entry.blocked_classes == 0b10)
    );
    // Engines that are open at first stay open when the open share grows.
    let first: Vec<u32> = table.engines().filter(|s| s.is_open()).map(|s| s.entry.engine).collect();
    table.apply_restrictions(vec![ZoneRestriction { zone: 1, open_permille: 500, blocked_classes: 0 }]);
    assert!(first.iter().all(|engine| table.get(*engine).is_some_and(EndpointStatus::is_open)));
    // Engines listed after the restriction was applied are restricted too.
    table.apply_list(EndpointUpdateKind::Delta, (400..600).map(entry).collect());
    // Half of the zone's 300 engines is 150; the range is wide for the same reason as above.
    assert!((120..=180).contains(&open(&table, 1)), "{}", open(&table, 1));
    table.apply_restrictions(Vec::new());
    assert_eq!(open(&table, 1), 300);
}
