//! The two-phase commit state machine, for all orders in which three parts and the log answer, each part once in
//! each phase.

use lemonusher_store::*;

/// Explores all sequences of events from three parts and the log.
#[test]
fn no_order_of_events_leaves_a_commit_half_applied() {
    let names = || vec!["a".to_owned(), "b".to_owned(), "c".to_owned()];
    let mut unexplored: Vec<Vec<CommitEvent>> = vec![Vec::new()];
    let (mut sequences, mut done, mut failed) = (0, 0, 0);
    while let Some(events) = unexplored.pop() {
        let (mut commit, mut actions) = TwoPhaseCommit::start(names());
        for event in &events {
            actions.extend(commit.handle_event(event.clone()));
        }
        sequences += 1;
        let has = |action: &CommitAction| actions.contains(action);
        let activated = (0..3).filter(|part| has(&CommitAction::Activate(*part))).count();
        let logs = actions.iter().filter(|action| **action == CommitAction::Log).count();
        let ended = actions
            .iter()
            .filter(|action| matches!(action, CommitAction::Done(_) | CommitAction::Failed(_)))
            .count();
        assert!(ended <= 1 && logs <= 1, "{events:?}");
        assert_eq!(commit.is_finished(), ended == 1);
        // The commit is logged only after all parts have prepared, and activated only after it is logged.
        if logs == 1 {
            assert!((0..3).all(|part| events.contains(&CommitEvent::Prepared(part))), "{events:?}");
        }
        if activated > 0 {
            assert!(events.contains(&CommitEvent::Logged), "{events:?}");
        }
        if actions.iter().any(|action| matches!(action, CommitAction::Failed(_))) {
            failed += 1;
            assert!(activated == 0 && !events.contains(&CommitEvent::Logged), "{events:?}");
            // Every part that may hold a prepared state is told to discard it.
            for part in 0..3 {
                let answered_already = events
                    .iter()
                    .any(|t| matches!(t, CommitEvent::Declined { part: p, .. } | CommitEvent::Lost(p) if *p == part));
                assert!(has(&CommitAction::Discard(part)) || answered_already, "{events:?}");
            }
        }
        if actions.iter().any(|action| matches!(action, CommitAction::Done(_))) {
            done += 1;
            assert!(events.contains(&CommitEvent::Logged));
        }
        if commit.is_finished() {
            continue;
        }
        // All events that may follow: each part answers once in each phase, the log once.
        let count = |events: &[CommitEvent], part: usize| {
            events.iter()
                .filter(|t| {
                    matches!(t,
                CommitEvent::Prepared(p) | CommitEvent::Declined { part: p, .. } | CommitEvent::Lost(p) | CommitEvent::Activated(p) if *p == part)
                })
                .count()
        };
        let answered = events.iter().any(|t| matches!(t, CommitEvent::Logged | CommitEvent::NotLogged(_)));
        let mut next: Vec<CommitEvent> = Vec::new();
        for part in 0..3 {
            match (count(&events, part), has(&CommitAction::Activate(part))) {
                (0, _) => next.extend([
                    CommitEvent::Prepared(part),
                    CommitEvent::Declined { part, reason: "no".into() },
                    CommitEvent::Lost(part),
                ]),
                (1, true) => next.extend([CommitEvent::Activated(part), CommitEvent::Lost(part)]),
                (1, false) if logs == 1 && !answered => next.push(CommitEvent::Lost(part)),
                _ => {}
            }
        }
        if logs == 1 && !answered {
            next.extend([CommitEvent::Logged, CommitEvent::NotLogged("full".into())]);
        }
        assert!(!next.is_empty(), "stuck after {events:?}");
        unexplored.extend(next.into_iter().map(|one| events.iter().cloned().chain([one]).collect()));
    }
    assert!(sequences > 500 && done > 10 && failed > 10, "{sequences} {done} {failed}");
}
