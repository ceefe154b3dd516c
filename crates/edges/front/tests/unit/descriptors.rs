use super::*;

#[test]
fn all_shares_together_stay_below_the_limit_and_none_is_nothing() {
    for limit in 16..=65_536 {
        let shares = Descriptors::of(limit);
        let kept = RESERVE.min(limit / RESERVE_SHARE);
        let sum = shares.clients + shares.lingering + shares.engines + kept;
        assert!(sum <= limit, "{limit}: {shares:?}");
        assert!(shares.per_engine >= 1 && shares.per_engine <= shares.engines);
    }
}
