//! The capacity page: its tables are those of the CSV files. Also CSV files, budget crossings and number formats.

use lemonusher_scale::page::{figure, names, regenerate};
use lemonusher_scale::role::Role;
use lemonusher_scale::sample::{self, Metric, Sample, metric};
use lemonusher_scale::series::{BudgetCrossing, group};
use std::path::{Path, PathBuf};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../docs")
}

/// The names of the page's CSV files, which are those of its blocks.
fn files() -> Vec<String> {
    let entries = std::fs::read_dir(docs().join("capacity")).expect("the folder is there");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let files = paths.filter(|path| path.extension().is_some_and(|extension| extension == "csv"));
    files.filter_map(|path| Some(path.file_stem()?.to_str()?.to_string())).collect()
}

fn decision(size: u32, value: f64, disturbed: bool) -> Sample {
    let case = "reports=none held=0".to_string();
    Sample { role: Role::Decision, case, size, metric: metric::PROCESSOR, value, disturbed }
}

#[test]
fn the_page_s_tables_are_those_of_its_files() {
    let page = std::fs::read_to_string(docs().join("CAPACITY.md")).expect("the page is there");
    let anew = regenerate(&page, &docs().join("capacity")).expect("the files can be read");
    let differs = page.lines().zip(anew.lines()).find(|(old, new)| old != new);
    assert_eq!(differs, None, "run `lemonusher-scale page`");
    assert_eq!(page, anew);
    let blocks = names(&page);
    let files = files();
    println!("proof: {} blocks of the page follow from {} files", blocks.len(), files.len());
    assert!(Role::ALL.iter().all(|role| blocks.iter().any(|block| block == role.name())));
    assert!(files.iter().all(|file| blocks.contains(file)), "a file that no block shows: {files:?}");
}

#[test]
fn every_file_has_samples_of_one_role_and_its_plot_beside_it() {
    for file in files() {
        let path = docs().join("capacity").join(format!("{file}.csv"));
        let samples = sample::read(&path).expect("the file can be read");
        let first = samples.first().expect("a file has samples").role;
        assert!(samples.iter().all(|sample| sample.role == first), "{file}");
        assert!(path.with_extension("svg").exists(), "{file}: run `lemonusher-scale page`");
        let disturbed = samples.iter().filter(|sample| sample.disturbed).count();
        println!("proof: {file}.csv: {} samples, {disturbed} of them disturbed", samples.len());
    }
}

#[test]
fn page_follows_its_files_and_shows_missing_ones_as_not_measured() {
    let folder = tempfile::tempdir().expect("a folder");
    let page = "a\n<!-- figures:decision -->\nold\n<!-- end -->\nb\n<!-- figures:leases -->\n<!-- end -->\n";
    let none = regenerate(page, folder.path()).expect("no file is no fault");
    assert_eq!(none.matches("Not measured.").count(), 2);
    let samples: Vec<Sample> =
        [20, 320, 2_600].map(|size| decision(size, f64::from(size) / 10.0, false)).into();
    sample::write(&folder.path().join("decision.csv"), &samples).expect("the file is written");
    let filled = regenerate(&none, folder.path()).expect("the file can be read");
    println!("proof: {}", filled.lines().find(|line| line.contains("held=0")).expect("a line"));
    assert!(filled.starts_with("a\n") && filled.contains("\nb\n") && !filled.contains("old"));
    assert!(filled.contains("| 130 ± ") && filled.contains("| 1.00 |"));
    assert_eq!(filled.matches("Not measured.").count(), 1);
    assert_eq!(regenerate(&filled, folder.path()).expect("the file can be read"), filled);
    assert!(regenerate("<!-- figures:decision -->\n", folder.path()).is_err());
}

#[test]
fn samples_survive_a_file_and_non_finite_values_are_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("decision.csv");
    let samples = vec![decision(20, 1.25, false), decision(80, 0.1 + 0.2, true)];
    sample::write(&path, &samples).expect("the file is written");
    assert_eq!(sample::read(&path).expect("the file can be read"), samples);
    sample::write(&path, &[decision(20, f64::NAN, false)]).expect("the file is written");
    assert!(sample::read(&path).is_err());
    std::fs::write(&path, "role,case,size\nnone,x,1\n").expect("the file is written");
    assert!(sample::read(&path).is_err());
}

#[test]
fn disturbed_run_moves_no_figure_and_budget_is_crossed_between_medians() {
    let mut samples =
        vec![decision(20, 2.0, false), decision(320, 50.0, false), decision(1_300, 150.0, false)];
    samples.push(decision(1_300, 9_000.0, true));
    let all = group(&samples);
    let [series] = &all[..] else { panic!("{all:?}") };
    assert_eq!(series.median_at(1_300), Some(150.0));
    // 100 % of a core lies halfway between 320 and 1,300 engines.
    assert_eq!(series.budget_crossing(), Some(BudgetCrossing::At(810.0)));
    assert_eq!(series.at_design().map(|estimate| (estimate.value, estimate.margin)), Some((150.0, None)));
    let other = Metric::new("other", "s");
    let unbounded = group(&[Sample { metric: other, ..decision(20, 1.0, false) }]);
    assert_eq!(unbounded[0].budget_crossing(), None);
}

#[test]
fn budget_is_crossed_where_the_fit_reaches_it_within_bounded_extrapolation() {
    let budget_crossing = |values: [f64; 3]| {
        let sizes = [100, 200, 400].into_iter().zip(values);
        let samples: Vec<Sample> = sizes.map(|(size, value)| decision(size, value, false)).collect();
        group(&samples)[0].budget_crossing()
    };
    assert_eq!(budget_crossing([101.0, 150.0, 200.0]), Some(BudgetCrossing::Below(100.0)));
    let Some(BudgetCrossing::At(reached)) = budget_crossing([5.0, 10.0, 20.0]) else {
        panic!("the line reaches 100 %")
    };
    assert!((reached - 2_000.0).abs() < 1e-6, "{reached}");
    assert_eq!(budget_crossing([0.5, 1.0, 2.0]), Some(BudgetCrossing::Beyond(4_000.0)));
    assert_eq!(budget_crossing([20.0, 20.0, 20.0]), Some(BudgetCrossing::Beyond(4_000.0)));
}

#[test]
fn figures_have_three_digits() {
    let known =
        [(0.0, "0"), (0.012345, "0.0123"), (1.5, "1.5"), (123.4, "123"), (12_345.0, "12,300"), (-4.0, "-4")];
    for (value, text) in known {
        assert_eq!(figure(value), text);
    }
    assert_eq!((figure(1_500_000.0), figure(999.6)), ("1,500,000".into(), "1,000".into()));
}
