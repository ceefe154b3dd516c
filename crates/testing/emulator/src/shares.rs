//! Selection of an index with probability proportional to its weight, by running sums of the weights.

/// Running sums; the last one is the total.
pub(crate) fn running_sums(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    shares
        .scan(0.0, |sum, share| {
            *sum += share;
            Some(*sum)
        })
        .collect()
}

/// Index of the interval of the running sums that contains this share of the total, from 0 to 1.
pub(crate) fn index_at_share(sums: &[f64], share: f64) -> usize {
    let total = sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|sum| *sum <= share * total).min(sums.len().saturating_sub(1))
}
