//! Selection of an index with probability proportional to its weight, by running sums of the weights.

/// Running sums; the last one is the total.
pub(crate) fn running_sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    parts
        .scan(0.0, |sum, part| {
            *sum += part;
            Some(*sum)
        })
        .collect()
}

/// Index of the interval of the running sums that contains this share of the total, from 0 to 1.
pub(crate) fn falls_on(sums: &[f64], share: f64) -> usize {
    let whole = sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|sum| *sum <= share * whole).min(sums.len().saturating_sub(1))
}
