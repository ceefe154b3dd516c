//! The search of external calls within small bounds; `docs/model-check.md` has the figures of larger ones. The mutants in
//! `mutants/` show which broken rules the search finds.

use lemonusher_model_check::external_calls::{Bounds, CallsWorld, Step};
use lemonusher_model_check::{World, history, search};

const THREADS: usize = 4;

fn bounds(failure_mode_allow: bool, ticks: u32, restarts: u32) -> Bounds {
    Bounds {
        processors: 2,
        failure_mode_allow,
        idempotent: false,
        extends_timeout: false,
        attempts: 2,
        returns: 1,
        ticks,
        restarts,
    }
}

/// Guards against an order of few events in which a request runs twice, or its client is told that it never ran.
#[test]
fn no_order_of_events_breaks_a_rule() {
    for failure_mode_allow in [false, true] {
        for (ticks, restarts) in [(2, 0), (0, 1)] {
            let bounds = bounds(failure_mode_allow, ticks, restarts);
            let result = search::<CallsWorld>(bounds.clone(), THREADS);
            println!("proof: model_check_external_calls {} states in {:.1?}", result.states, result.duration);
            assert_eq!(result.bad_history, None, "{bounds:?}");
            assert!(result.missed_landmarks.is_empty(), "{:?}", result.missed_landmarks);
        }
    }
}

/// A history is replayed from its text, and an event that can't happen then is refused.
#[test]
fn history_is_replayed_from_its_text() {
    let steps = [
        Step::ProxySends(0),
        Step::ProcessorReads { processor: 0, stream: 3 },
        Step::RouterGrants(0),
        Step::ProxyReads,
        Step::EngineReads,
        Step::EngineReturns,
    ];
    let text = history::to_text(&steps).unwrap();
    assert_eq!(history::from_text::<Step>(&text).unwrap(), steps);
    let states: Vec<CallsWorld> = history::replay(&bounds(false, 0, 0), &steps).unwrap();
    assert!(states.iter().all(|state| state.violation().is_none()));
    let impossible = [Step::ProxySends(0), Step::EngineReads];
    let refused = history::replay::<CallsWorld>(&bounds(false, 0, 0), &impossible).unwrap_err();
    assert_eq!(refused.to_string(), "line 2: the event can't happen then");
    assert!(history::from_text::<Step>("\"no-such-event\"\n").is_err());
}
