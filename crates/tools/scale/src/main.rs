//! `lemonusher-scale`: measures a role at several sizes, or writes the capacity page from the samples.

use clap::{Parser, Subcommand};
use comfy_table::Table;
use lemonusher_scale::sample::{self, Sample};
use lemonusher_scale::series::{Series, group};
use lemonusher_scale::{Options, Role};
use lemonusher_scale::{Progress, page, plot, roles};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Measures how each role of a front grows with the fleet")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one role at several sizes and writes its samples as CSV.
    Measure(Measure),
    /// Writes the tables of CAPACITY.md and the plots anew from the CSV files.
    Page {
        /// The folder of CAPACITY.md, with `capacity/` beside it.
        #[arg(long, default_value = "docs")]
        folder: PathBuf,
    },
}

#[derive(clap::Args)]
struct Measure {
    role: Role,
    /// Sizes, parted by commas; the role's own if there are none.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<u32>,
    /// How often each size is measured.
    #[arg(long, default_value_t = 3)]
    repeats: u32,
    /// Short runs, to see that the rig works.
    #[arg(long)]
    quick: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The program of a real front; `lemonusher-front` beside this program if none is given.
    #[arg(long)]
    front: Option<PathBuf>,
    /// Only cases whose name holds this text.
    #[arg(long)]
    case: Option<String>,
    /// The CSV file; `docs/capacity/ROLE.csv` if none is given.
    #[arg(long)]
    output: Option<PathBuf>,
    /// Keeps the samples that the file has.
    #[arg(long)]
    append: bool,
}

fn main() -> ExitCode {
    let outcome = match Arguments::parse().command {
        Command::Measure(arguments) => measure(&arguments),
        Command::Page { folder } => write_page(&folder).map(|()| ExitCode::SUCCESS),
    };
    outcome.unwrap_or_else(|cause| {
        eprintln!("{cause}");
        ExitCode::FAILURE
    })
}

/// Measures all sizes, and writes the file after each that succeeds. If one size fails, the others are still measured,
/// and the command fails at the end.
fn measure(arguments: &Measure) -> Result<ExitCode, Box<dyn Error>> {
    let options = Options {
        repeats: arguments.repeats.max(1),
        quick: arguments.quick,
        seed: arguments.seed,
        front: arguments.front.clone(),
        case: arguments.case.clone(),
    };
    let mut measurement = roles::measurement(arguments.role, &options)?;
    let given = (!arguments.sizes.is_empty()).then(|| arguments.sizes.clone());
    let sizes = given.unwrap_or_else(|| measurement.default_sizes());
    let default_path = || PathBuf::from(format!("docs/capacity/{}.csv", arguments.role));
    let path = arguments.output.clone().unwrap_or_else(default_path);
    let mut samples = if arguments.append && path.exists() { sample::read(&path)? } else { Vec::new() };
    let mut progress = Progress::new(sizes.len());
    let mut all_measured = true;
    for size in sizes {
        match measurement.measure(size, &mut progress) {
            Ok(more) => {
                progress.size_done(&format!("{} at {size}: {}", arguments.role, count(&more)));
                samples.extend(more);
                sample::write(&path, &samples)?;
            }
            Err(cause) => {
                progress.size_done(&format!("{} at {size}: {cause}", arguments.role));
                all_measured = false;
            }
        }
    }
    progress.finish();
    println!("{}", table(&group(&samples)));
    println!("{} samples in {}", samples.len(), path.display());
    Ok(if all_measured { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn count(samples: &[Sample]) -> String {
    let disturbed = samples.iter().filter(|sample| sample.disturbed).count();
    format!("{} samples, {disturbed} disturbed", samples.len())
}

fn table(all: &[Series]) -> Table {
    let mut table = Table::new();
    table.set_header(["case", "metric", "medians by size", "slope per 1,000", "power", "at design size"]);
    for series in all {
        let medians = series.sizes().into_iter().map(|size| {
            let median = series.median_at(size).map_or("disturbed".into(), page::figure);
            format!("{size}: {median}")
        });
        let (slope, power) = match series.fit() {
            Ok(fit) => (
                format!("{} ± {}", page::figure(fit.slope * 1e3), page::figure(fit.slope_margin * 1e3)),
                fit.power.map_or(String::new(), |power| format!("{:.2}", power.exponent)),
            ),
            Err(cause) => (cause.to_string(), String::new()),
        };
        let design = series.at_design().map_or("–".into(), |estimate| page::figure(estimate.value));
        let metric = series.metric.title();
        let medians = medians.collect::<Vec<_>>().join("\n");
        table.add_row([series.case.clone(), metric, medians, slope, power, design]);
    }
    table
}

fn write_page(folder: &Path) -> Result<(), Box<dyn Error>> {
    let (path, files) = (folder.join("CAPACITY.md"), folder.join("capacity"));
    let text = std::fs::read_to_string(&path)?;
    std::fs::write(&path, page::regenerate(&text, &files)?)?;
    for entry in std::fs::read_dir(&files)? {
        let file = entry?.path();
        if file.extension().is_some_and(|extension| extension == "csv") {
            plot::draw(&file.with_extension("svg"), &group(&sample::read(&file)?))?;
        }
    }
    Ok(())
}
