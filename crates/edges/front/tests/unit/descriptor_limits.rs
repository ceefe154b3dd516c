use super::*;

#[test]
fn the_limits_sum_to_no_more_than_the_process_limit_and_none_is_zero() {
    for limit in 16..=65_536 {
        let shares = DescriptorLimits::of(limit);
        let reserved = RESERVED_DESCRIPTORS.min(limit / RESERVED_DIVISOR);
        let sum = shares.clients + shares.lingering + shares.engines + reserved;
        assert!(sum <= limit, "{limit}: {shares:?}");
        assert!(shares.per_engine >= 1 && shares.per_engine <= shares.engines);
    }
}
