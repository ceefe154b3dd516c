//! Draws by shares, as running sums.

/// Running sums, of which the last is the whole.
pub(crate) fn running_sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    parts
        .scan(0.0, |sum, part| {
            *sum += part;
            Some(*sum)
        })
        .collect()
}

/// Where a share of the whole falls.
pub(crate) fn falls_on(sums: &[f64], share: f64) -> usize {
    let whole = sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|sum| *sum <= share * whole).min(sums.len().saturating_sub(1))
}
