//! Fits: a known slope is recovered, and disturbed points are not used.

use lemonusher_scale::fit::{FitError, Point, fit};

/// Points on the line `3 + 0.25 * size` with noise whose sum is zero.
fn points() -> Vec<Point> {
    let noise = [0.5, -0.5, 0.25, -0.25, 0.4, -0.4];
    let sizes = [40.0, 40.0, 130.0, 130.0, 520.0, 520.0];
    let pairs = sizes.iter().zip(noise);
    pairs
        .map(|(size, noise)| Point { size: *size, value: 3.0 + 0.25 * size + noise, disturbed: false })
        .collect()
}

#[test]
fn a_fit_recovers_a_known_slope_within_its_interval() {
    let fit = fit(&points()).expect("three good sizes");
    println!(
        "proof: slope {:.4} ± {:.4}, known 0.25; at 1040 {:.1}",
        fit.slope,
        fit.slope_margin,
        fit.at(1040.0)
    );
    assert!((fit.slope - 0.25).abs() <= fit.slope_margin);
    assert!(fit.slope_margin < 0.01);
    assert!((fit.at(1040.0) - 263.0).abs() <= fit.margin_at(1040.0));
    assert_eq!(fit.extrapolation(1040.0), 2.0);
}

#[test]
fn fit_leaves_out_disturbed_points_and_fails_on_too_few_sizes() {
    let mut wild = points();
    wild.push(Point { size: 1040.0, value: 1e6, disturbed: true });
    let left = fit(&wild).expect("three good sizes");
    assert_eq!((left.slope, left.left_out), (fit(&points()).expect("good").slope, 1));
    let mut disturbed = points();
    disturbed.iter_mut().filter(|point| point.size == 130.0).for_each(|point| point.disturbed = true);
    let refused = fit(&disturbed);
    println!("proof: a run with one size of three disturbed: {refused:?}");
    assert_eq!(refused, Err(FitError::Disturbed { good: 2, measured: 3 }));
    assert_eq!(fit(&points()[..4]), Err(FitError::TooFewSizes { good: 2 }));
}
