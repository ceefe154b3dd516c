//! Commits whose parts decline or panic in either phase, and commits whose caller is cancelled.

use lemonusher_managed::{ManagementConfig, Names, Part, PartFuture, Started, Users, start};
use lemonusher_model::{Node, Op, parse_path};
use lemonusher_routing::ManagementCall;
use lemonusher_store::{CommitOptions, Edit, Protocol, StoreError, Version};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    DeclineAtPrepare,
    PanicAtPrepare,
    PanicInPrepare,
    PanicAtActivate,
    PanicInActivate,
    DeclineAtActivate,
}

/// A part that fails as configured by `fault`, and records the version of its last calls.
struct FailingPart {
    fault: Mutex<Fault>,
    prepared: AtomicU64,
    activated: AtomicU64,
    discarded: AtomicU64,
}

impl Part for FailingPart {
    fn name(&self) -> String {
        "a failing part".to_owned()
    }

    fn prepare(&self, version: Arc<Version>) -> PartFuture {
        let fault = *self.fault.lock().unwrap();
        self.prepared.store(version.number, Ordering::SeqCst);
        assert!(fault != Fault::PanicAtPrepare, "injected fault");
        Box::pin(async move {
            assert!(fault != Fault::PanicInPrepare, "injected fault");
            if fault == Fault::DeclineAtPrepare { Err("injected fault".to_owned()) } else { Ok(()) }
        })
    }

    fn activate(&self, number: u64) -> PartFuture {
        let fault = *self.fault.lock().unwrap();
        assert!(fault != Fault::PanicAtActivate, "injected fault");
        self.activated.store(number, Ordering::SeqCst);
        Box::pin(async move {
            assert!(fault != Fault::PanicInActivate, "injected fault");
            if fault == Fault::DeclineAtActivate { Err("injected fault".to_owned()) } else { Ok(()) }
        })
    }

    fn discard(&self, number: u64) -> PartFuture {
        self.discarded.store(number, Ordering::SeqCst);
        Box::pin(async { Ok(()) })
    }
}

/// A request router that accepts every commit, and records the active version.
fn spawn_router(requests: async_channel::Receiver<ManagementCall>, in_force: Arc<AtomicU64>) {
    std::thread::spawn(move || {
        let mut prepared = None;
        while let Ok(request) = requests.recv_blocking() {
            match request {
                ManagementCall::Prepare { number, reply, .. } => {
                    prepared = Some(number);
                    let _ = reply.try_send(Ok(()));
                }
                ManagementCall::Activate { number, reply } => {
                    assert_eq!(prepared.take(), Some(number));
                    in_force.store(number, Ordering::SeqCst);
                    let _ = reply.try_send(Ok(()));
                }
                ManagementCall::Discard { number } => drop(prepared.take_if(|version| *version == number)),
                ManagementCall::Read { .. } => {}
            }
        }
    });
}

fn start_managed(part: Arc<FailingPart>) -> Started {
    let config = ManagementConfig {
        folder: None,
        history: 10,
        sessions: 10,
        subscriptions: 10,
        freshness: Duration::from_millis(10),
        from_startup: false,
        gnmi: None,
        netconf: None,
        users: Users::default(),
    };
    let names = Names { zones: vec!["east".into()], machine_kinds: Vec::new(), request_classes: Vec::new() };
    start(config, names, "n0".into(), Arc::new(|_| {}), vec![part])
        .map_err(|error| error.to_string())
        .unwrap()
}

#[tokio::test]
async fn part_that_fails_at_any_step_leaves_the_old_state_or_the_new_one() {
    let part = Arc::new(FailingPart {
        fault: Mutex::new(Fault::None),
        prepared: AtomicU64::new(0),
        activated: AtomicU64::new(0),
        discarded: AtomicU64::new(0),
    });
    let started = start_managed(part.clone());
    let in_force = Arc::new(AtomicU64::new(0));
    spawn_router(started.requests.clone(), in_force.clone());
    let hub = started.hub;
    let session = hub.with_store(|store| store.open_session("x", Protocol::Local)).unwrap();
    let path = parse_path("/front/pool[name=a]/cell").unwrap();
    let mut cell = 0;
    for fault in [
        Fault::DeclineAtPrepare,
        Fault::None,
        Fault::PanicAtPrepare,
        Fault::PanicInPrepare,
        Fault::PanicAtActivate,
        Fault::PanicInActivate,
        Fault::DeclineAtActivate,
        Fault::None,
    ] {
        *part.fault.lock().unwrap() = fault;
        cell += 1;
        let before = hub.with_store(|store| store.running().clone());
        let mut place = hub.schema().place(&path).unwrap();
        place.last_mut().unwrap().keys = Some(vec![cell.to_string().into()]);
        let edit = Edit { op: Op::Merge, place, value: Some(Node::Leaf(cell.to_string().into())) };
        let committed = hub
            .commit(move |store, now, at| {
                store.edit_running(session, &[edit], &CommitOptions::default(), now, at)
            })
            .await;
        let after = hub.with_store(|store| store.running().clone());
        let fails = matches!(fault, Fault::DeclineAtPrepare | Fault::PanicAtPrepare | Fault::PanicInPrepare);
        if fails {
            assert!(matches!(committed, Err(StoreError::Failed(_))), "{fault:?} {committed:?}");
            assert!(after.number == before.number && after.tree == before.tree, "{fault:?}");
            // The router had prepared but has not activated. Later iterations check that this blocks no commits.
            assert_eq!(in_force.load(Ordering::SeqCst), before.number);
            assert_ne!(part.activated.load(Ordering::SeqCst), before.number + 1);
        } else {
            // Once logged, a commit is final: failures during activation don't restore the old version.
            assert!(committed.is_ok(), "{fault:?} {committed:?}");
            assert_eq!(after.number, before.number + 1);
            assert_eq!(in_force.load(Ordering::SeqCst), after.number, "{fault:?}");
        }
    }
    assert_eq!(hub.with_store(|store| store.running().number), 5);
}

/// A dropped commit future must neither abort the commit nor block the commits that follow.
#[tokio::test]
async fn commit_completes_when_its_caller_is_dropped() {
    let part = Arc::new(FailingPart {
        fault: Mutex::new(Fault::None),
        prepared: AtomicU64::new(0),
        activated: AtomicU64::new(0),
        discarded: AtomicU64::new(0),
    });
    let started = start_managed(part);
    spawn_router(started.requests.clone(), Arc::default());
    let hub = started.hub;
    let session = hub.with_store(|store| store.open_session("x", Protocol::Local)).unwrap();
    let path = parse_path("/front/log-level").unwrap();
    let place = hub.schema().place(&path).unwrap();
    for level in ["warn", "debug", "error", "trace"] {
        let edit = Edit { op: Op::Merge, place: place.clone(), value: Some(Node::Leaf(level.into())) };
        let commit = hub.commit(move |store, now, at| {
            store.edit_running(session, &[edit], &CommitOptions::default(), now, at)
        });
        // A timeout of zero polls the future once, then drops it.
        let _ = tokio::time::timeout(Duration::ZERO, commit).await;
    }
    let level = Edit { op: Op::Merge, place, value: Some(Node::Leaf("info".into())) };
    let last = hub
        .commit(move |store, now, at| {
            store.edit_running(session, &[level], &CommitOptions::default(), now, at)
        })
        .await;
    assert_eq!(last.unwrap().unwrap().number, 5);
}
