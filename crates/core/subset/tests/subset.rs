//! The subsets of all fronts together: they are even and small, and the load of failed engines is spread
//! over many.

use lemonusher_subset::{FrontPosition, Member, Subset, size, subset};
use std::collections::BTreeMap;
use std::num::NonZeroU32;

/// Numbers of fronts and engines of fleets that lemonusher is used or planned for.
const FLEETS: [(u32, usize); 5] = [(300, 80), (300, 52), (130, 325), (520, 1_300), (40, 60)];

fn fronts(number: u32) -> NonZeroU32 {
    NonZeroU32::new(number).unwrap()
}

/// Engine ids as in deployments: spread over the whole range.
fn engines(count: usize) -> Vec<u32> {
    (1..=count as u32).map(|n| n.wrapping_mul(2_654_435_761)).collect()
}

/// The subsets of all fronts, if all know the same engines to be unhealthy.
fn subsets(fleet: u32, engines: &[u32], unhealthy: &[u32]) -> Vec<Subset> {
    let size = size(engines.len(), fronts(fleet));
    let members = || engines.iter().map(|&engine| Member { engine, healthy: !unhealthy.contains(&engine) });
    (0..fleet).map(|index| subset(FrontPosition { index, fronts: fronts(fleet) }, members(), size)).collect()
}

/// The number of subsets that contain each engine.
fn subset_counts(engines: &[u32], subsets: &[Subset]) -> BTreeMap<u32, usize> {
    let count = |engine| subsets.iter().filter(|subset| subset.contains(engine)).count();
    engines.iter().map(|&engine| (engine, count(engine))).collect()
}

#[test]
fn engines_are_in_equally_many_subsets() {
    for (fleet, count) in FLEETS {
        let engines = engines(count);
        let subsets = subsets(fleet, &engines, &[]);
        let counts = subset_counts(&engines, &subsets);
        let mean = counts.values().sum::<usize>() as f64 / count as f64;
        let (least, most) = (counts.values().min().unwrap(), counts.values().max().unwrap());
        println!(
            "{fleet} fronts, {count} engines: subsets of {}, each engine in {least} to {most}",
            subsets[0].len()
        );
        assert!(
            *least as f64 >= mean * 0.75 && *most as f64 <= mean * 1.25,
            "{least} to {most}, mean {mean}"
        );
    }
}

#[test]
fn engine_is_shared_by_at_least_the_minimum_of_fronts() {
    for (fleet, count) in FLEETS {
        let size = size(count, fronts(fleet));
        assert!(
            size * fleet as usize >= 32 * count || size == count,
            "{fleet} fronts, {count} engines: {size}"
        );
        assert!(size >= 8 || size == count);
    }
    assert_eq!(size(5, fronts(300)), 5);
    assert_eq!(size(80, fronts(20)), 80);
    assert_eq!(size(0, fronts(20)), 0);
}

#[test]
fn load_of_failed_engines_is_spread_over_many_others() {
    let engines = engines(80);
    let before = subset_counts(&engines, &subsets(300, &engines, &[]));
    let failed = &engines[..20];
    let after = subset_counts(&engines, &subsets(300, &engines, failed));
    let healthy = &engines[20..];
    let mean = healthy.iter().map(|engine| after[engine]).sum::<usize>() as f64 / healthy.len() as f64;
    let most = healthy.iter().map(|engine| after[engine]).max().unwrap();
    let gaining = healthy.iter().filter(|engine| after[engine] > before[engine]).count();
    println!(
        "20 of 80 failed: the others are in {mean:.1} subsets, {most} at most; {gaining} of 60 in more than before"
    );
    assert!(most as f64 <= mean * 1.6, "{most} of {mean}");
    assert!(gaining >= 50, "{gaining}");
}

#[test]
fn failed_engine_stays_in_the_subset_and_one_more_is_added() {
    let engines = engines(80);
    let before = subsets(300, &engines, &[]);
    let failed = *engines.iter().find(|engine| before[7].contains(**engine)).unwrap();
    let after = subsets(300, &engines, &[failed]);
    assert!(after[7].contains(failed));
    assert_eq!(after[7].len(), before[7].len() + 1);
    assert!(engines.iter().all(|engine| !before[7].contains(*engine) || after[7].contains(*engine)));
}

#[test]
fn healthy_share_of_a_subset_estimates_that_of_all_engines() {
    let engines = engines(80);
    let shares = |failed: &[u32]| -> Vec<f64> {
        let healthy = |engine: u32| !failed.contains(&engine);
        subsets(300, &engines, failed).iter().map(|subset| subset.share(healthy)).collect()
    };
    assert!(shares(&[]).iter().all(|share| *share == 1.0));
    let found = shares(&engines[..32]);
    let mean = found.iter().sum::<f64>() / found.len() as f64;
    println!("32 of 80 failed: fronts find {mean:.3} healthy, in the mean");
    assert!((0.55..0.65).contains(&mean), "{mean}");
}

#[test]
fn subset_stays_small_when_nearly_all_engines_fail() {
    let engines = engines(80);
    for subset in subsets(300, &engines, &engines) {
        assert_eq!(subset.len(), 3 * size(80, fronts(300)));
    }
}

#[test]
fn subset_does_not_depend_on_the_order_of_the_engines() {
    let (forward, mut backward) = (engines(80), engines(80));
    backward.reverse();
    assert_eq!(subsets(300, &forward, &[]), subsets(300, &backward, &[]));
}

#[test]
fn replaced_engine_changes_few_subsets() {
    let engines = engines(80);
    let mut replaced = engines.clone();
    replaced[3] = 77;
    let (before, after) = (subsets(300, &engines, &[]), subsets(300, &replaced, &[]));
    let unchanged =
        |n: usize| engines.iter().filter(|e| before[n].contains(**e) && after[n].contains(**e)).count();
    let mean = (0..300).map(|n| unchanged(n) as f64 / before[n].len() as f64).sum::<f64>() / 300.0;
    println!("one engine of 80 replaced: {:.3} of a subset stays", mean);
    assert!(mean > 0.85, "{mean}");
}

#[test]
fn no_engines_and_a_number_past_the_last_front_are_accepted() {
    let position = |index| FrontPosition { index, fronts: fronts(300) };
    assert!(subset(position(5), std::iter::empty(), 8).is_empty());
    let member = || engines(20).into_iter().map(|engine| Member { engine, healthy: true });
    assert_eq!(subset(position(301), member(), 8), subset(position(1), member(), 8));
}
