//! The generated tables of `docs/CAPACITY.md`. A block between `<!-- figures:NAME -->` and `<!-- end -->` is generated
//! from `docs/capacity/NAME.csv` alone; the block `summary` from all files that have the name of a role.

use crate::budget;
use crate::role::Role;
use crate::sample::{self, FileError, Sample};
use crate::series::{BudgetCrossing, Series, group};
use std::path::Path;

const BEGIN: &str = "<!-- figures:";
const BEGIN_END: &str = " -->";
const END: &str = "<!-- end -->";
/// The block that compares every role with its budgets.
const SUMMARY: &str = "summary";
/// The content of a block without samples.
const NOT_MEASURED: &str = "Not measured.";

/// The reason why the page can't be generated.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// A block is not closed: ` -->` is missing after its name, or `<!-- end -->` after its content. Contains the text
    /// after `<!-- figures:` on that line.
    #[error("a block of the page is not closed: <!-- figures:{0}")]
    NoEnd(String),
    /// A CSV file can't be read.
    #[error(transparent)]
    File(#[from] FileError),
}

/// Returns the page with its blocks regenerated from the CSV files in `folder`.
pub fn regenerate(page: &str, folder: &Path) -> Result<String, PageError> {
    let mut out = String::with_capacity(page.len());
    let mut rest = page;
    while let Some(start) = rest.find(BEGIN) {
        let after = &rest[start + BEGIN.len()..];
        let unclosed = || PageError::NoEnd(after.lines().next().unwrap_or_default().to_string());
        let name_end = after.find(BEGIN_END).ok_or_else(unclosed)?;
        let name = &after[..name_end];
        let end = after.find(END).ok_or_else(unclosed)?;
        out.push_str(&rest[..start + BEGIN.len() + name_end + BEGIN_END.len()]);
        out.push_str("\n\n");
        out.push_str(&block(name, folder)?);
        out.push('\n');
        out.push_str(END);
        rest = &after[end + END.len()..];
    }
    out.push_str(rest);
    Ok(out)
}

/// The names of the page's blocks, in order.
pub fn names(page: &str) -> Vec<String> {
    let begins = page.split(BEGIN).skip(1);
    begins.filter_map(|after| after.split_once(BEGIN_END)).map(|(name, _)| name.to_string()).collect()
}

fn block(name: &str, folder: &Path) -> Result<String, PageError> {
    if name == SUMMARY {
        return summary(folder);
    }
    let samples = samples_of(name, folder)?;
    Ok(if samples.is_empty() { format!("{NOT_MEASURED}\n") } else { table(&group(&samples)) })
}

/// The samples of a file; empty if there is no such file.
pub fn samples_of(name: &str, folder: &Path) -> Result<Vec<Sample>, FileError> {
    let path = folder.join(format!("{name}.csv"));
    if path.exists() { sample::read(&path) } else { Ok(Vec::new()) }
}

/// The table of a block, with one line for each series.
fn table(all: &[Series]) -> String {
    let axis = all.first().map_or("", |series| series.role.axis().name());
    let design = all.first().map_or(0, Series::design_size);
    let mut out = format!(
        "| case | metric | measured at {axis} | at {design} | budget | slope per 1,000 {axis} | grows with power | \
         budget passed at |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    for series in all {
        out.push_str(&line(series));
    }
    out
}

fn line(series: &Series) -> String {
    let sizes: Vec<String> = series.sizes().iter().map(u32::to_string).collect();
    let (slope, power) = match series.fit() {
        Ok(fit) => (
            format!("{} ± {}", figure(fit.slope * 1_000.0), figure(fit.slope_margin * 1_000.0)),
            fit.power.map_or("–".into(), |power| {
                let note = if power.linear() { "" } else { ", not linear" };
                format!("{:.2}{note}", power.exponent)
            }),
        ),
        Err(cause) => (format!("no fit: {cause}"), "–".into()),
    };
    let case = if series.case.is_empty() { "–" } else { &series.case };
    format!(
        "| {case} | {} | {} | {} | {} | {slope} | {power} | {} |\n",
        series.metric.title(),
        sizes.join(", "),
        at_design(series),
        series.budget().map_or("–".into(), budget_text),
        crossing_text(series),
    )
}

/// The value at the design size. If it was not measured there, its confidence interval and the factor of extrapolation
/// follow.
fn at_design(series: &Series) -> String {
    let Some(estimate) = series.at_design() else { return "–".into() };
    let value = figure(estimate.value);
    let Some(margin) = estimate.margin else { return value };
    let design = f64::from(series.design_size());
    let times = series.fit().map_or(1.0, |fit| fit.extrapolation(design));
    let extrapolation = if times > 1.0 { format!(", extrapolated {times:.1} times") } else { String::new() };
    format!("{value} ± {}{extrapolation}", figure(margin))
}

/// The size at which the metric exceeds its budget.
fn crossing_text(series: &Series) -> String {
    match series.budget_crossing() {
        None => "–".into(),
        Some(BudgetCrossing::Below(size)) => format!("at most {}", figure(size)),
        Some(BudgetCrossing::At(size)) => figure(size),
        Some(BudgetCrossing::Beyond(size)) => format!("not up to {}", figure(size)),
    }
}

/// The table that compares each role's worst case with each of its budgets.
fn summary(folder: &Path) -> Result<String, PageError> {
    let mut out = String::from(
        "| role | metric | worst case | at the design size | budget | | budget passed at |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for role in Role::ALL {
        let all = group(&samples_of(role.name(), folder)?);
        if all.is_empty() {
            out.push_str(&format!("| {role} | – | – | not measured | – | – | – |\n"));
            continue;
        }
        for budget in budget::of(role) {
            out.push_str(&summary_line(role, &budget, &all));
        }
    }
    Ok(out)
}

fn summary_line(role: Role, budget: &budget::Budget, all: &[Series]) -> String {
    let of_metric = all.iter().filter(|series| series.metric == budget.metric);
    let worst = of_metric
        .filter_map(|series| Some((series, series.at_design()?)))
        .max_by(|a, b| a.1.value.total_cmp(&b.1.value));
    let max = budget_text(budget.max);
    let metric = budget.metric.title();
    let Some((series, estimate)) = worst else {
        return format!("| {role} | {metric} | – | not measured | {max} | – | – |\n");
    };
    let verdict = if estimate.value > budget.max { "**past**" } else { "within" };
    let crossing = format!("{} {}", crossing_text(series), series.role.axis().name());
    let case = if series.case.is_empty() { "–" } else { &series.case };
    format!("| {role} | {metric} | {case} | {} | {max} | {verdict} | {crossing} |\n", at_design(series))
}

/// A budget without rounding; if it is a whole number, with commas between thousands.
fn budget_text(value: f64) -> String {
    if value.fract() == 0.0 { separate_thousands(&format!("{value:.0}")) } else { value.to_string() }
}

/// A number with three significant digits and commas between thousands.
pub fn figure(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if digits > 0 {
        let text = format!("{value:.*}", digits.min(9) as usize);
        return if text.contains('.') {
            text.trim_end_matches('0').trim_end_matches('.').into()
        } else {
            text
        };
    }
    let scale = 10f64.powi(-digits);
    separate_thousands(&format!("{:.0}", (value / scale).round() * scale))
}

/// Inserts commas between the thousands of a whole number.
fn separate_thousands(whole: &str) -> String {
    let (sign, number) = whole.strip_prefix('-').map_or(("", whole), |number| ("-", number));
    let mut separated = String::new();
    for (index, digit) in number.chars().enumerate() {
        if index > 0 && (number.len() - index).is_multiple_of(3) {
            separated.push(',');
        }
        separated.push(digit);
    }
    format!("{sign}{separated}")
}
