//! Draws one SVG for each CSV file: points, fits and budget of the metric that is nearest its budget, on logarithmic
//! axes. A series that does not grow linearly is drawn with its fitted power of the size.

use crate::series::Series;
use plotters::coord::combinators::LogCoord;
use plotters::prelude::*;
use std::path::Path;

const WIDTH: u32 = 860;
const HEIGHT: u32 = 520;
/// Segments with which a fitted line is drawn, since it is a curve on logarithmic axes.
const STEPS: u32 = 64;
/// Factor by which the axes extend beyond the outermost values.
const AXIS_MARGIN_FACTOR: f64 = 1.5;

/// The reason why a plot was not drawn.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {cause}")]
pub struct PlotError {
    /// The SVG file.
    pub path: String,
    /// The message of the underlying error.
    pub cause: String,
}

/// Draws the series of one metric; no file is written if no value is above zero.
pub fn draw(path: &Path, all: &[Series]) -> Result<(), PlotError> {
    let drawn = select_metric(all);
    let Some(frame) = Frame::around(&drawn) else { return Ok(()) };
    let failed = |cause: String| PlotError { path: path.display().to_string(), cause };
    chart(path, &drawn, &frame).map_err(|cause| failed(cause.to_string()))
}

/// All cases of the metric that is nearest its budget or exceeds it the most; without budgets, of the first metric.
fn select_metric(all: &[Series]) -> Vec<&Series> {
    let share = |series: &&Series| Some(series.at_design()?.value / series.budget()?);
    let nearest = all.iter().filter_map(|series| Some((share(&series)?, series)));
    let nearest = nearest.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, series)| series);
    let Some(chosen) = nearest.or(all.first()) else { return Vec::new() };
    all.iter().filter(|series| series.metric == chosen.metric).collect()
}

/// The ranges of both axes.
struct Frame {
    sizes: std::ops::Range<f64>,
    values: std::ops::Range<f64>,
}

impl Frame {
    fn around(drawn: &[&Series]) -> Option<Self> {
        let points = drawn.iter().flat_map(|series| &series.points);
        let points: Vec<_> = points.filter(|point| point.value > 0.0 && point.size > 0.0).collect();
        let first = drawn.first().filter(|_| !points.is_empty())?;
        let sizes = points.iter().map(|point| point.size).chain([f64::from(first.design_size())]);
        let values = points.iter().map(|point| point.value).chain(first.budget());
        Some(Frame { sizes: range(sizes), values: range(values) })
    }
}

fn range(values: impl Iterator<Item = f64> + Clone) -> std::ops::Range<f64> {
    let least = values.clone().fold(f64::INFINITY, f64::min);
    let max = values.fold(f64::NEG_INFINITY, f64::max);
    least / AXIS_MARGIN_FACTOR..max * AXIS_MARGIN_FACTOR
}

type Cause = Box<dyn std::error::Error>;
type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<LogCoord<f64>, LogCoord<f64>>>;

fn chart(path: &Path, drawn: &[&Series], frame: &Frame) -> Result<(), Cause> {
    let first = drawn[0];
    let root = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{}: {}", first.role, first.metric.title()), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(frame.sizes.clone().log_scale(), frame.values.clone().log_scale())?;
    chart.configure_mesh().x_desc(first.role.axis().name()).y_desc(first.metric.title()).draw()?;
    if let Some(budget) = first.budget() {
        let ends = [(frame.sizes.start, budget), (frame.sizes.end, budget)];
        draw_line(&mut chart, "budget", ends, RED.stroke_width(2))?;
    }
    let design = f64::from(first.design_size());
    let ends = [(design, frame.values.start), (design, frame.values.end)];
    draw_line(&mut chart, "design size", ends, BLACK.mix(0.4).stroke_width(1))?;
    for (index, series) in drawn.iter().enumerate() {
        draw_points(&mut chart, frame, series, Palette99::pick(index).to_rgba())?;
    }
    let position = SeriesLabelPosition::UpperLeft;
    chart.configure_series_labels().position(position).background_style(WHITE.mix(0.8)).draw()?;
    root.present()?;
    Ok(())
}

/// Draws a straight line with its entry in the legend.
fn draw_line(chart: &mut Chart, label: &str, ends: [(f64, f64); 2], style: ShapeStyle) -> Result<(), Cause> {
    let line = chart.draw_series(LineSeries::new(ends, style))?;
    line.label(label).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    Ok(())
}

/// Draws the points of one series, as empty circles where they were disturbed, and its fit.
fn draw_points(chart: &mut Chart, frame: &Frame, series: &Series, color: RGBAColor) -> Result<(), Cause> {
    let dots = series.points.iter().filter(|point| point.value > 0.0).map(|point| {
        let style = if point.disturbed { ShapeStyle::from(color) } else { color.filled() };
        Circle::new((point.size, point.value), 3, style)
    });
    let label = if series.case.is_empty() { "measured" } else { &series.case };
    let dots = chart.draw_series(dots)?;
    dots.label(label).legend(move |(x, y)| Circle::new((x + 8, y), 3, color.filled()));
    if let Ok(fit) = series.fit() {
        let power_curve = fit.power.filter(|power| !power.linear());
        let curve = curve(frame, |size| power_curve.map_or(fit.at(size), |power| power.at(size)));
        chart.draw_series(LineSeries::new(curve, color.mix(0.6)))?;
    }
    Ok(())
}

/// The points of a curve that are inside the frame.
fn curve(frame: &Frame, value: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    let growth = frame.sizes.end / frame.sizes.start;
    let sizes = (0..=STEPS).map(|step| frame.sizes.start * growth.powf(f64::from(step) / f64::from(STEPS)));
    sizes.map(|size| (size, value(size))).filter(|(_, value)| frame.values.contains(value)).collect()
}
