//! Parts that decline, panic or fall silent at each step of applying: the old state stands whole, or the new one.

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
    PanicAtSwitch,
    PanicInSwitch,
    DeclineAtSwitch,
}

/// A part that fails as it is told, and remembers what it was asked.
struct Failing {
    fault: Mutex<Fault>,
    prepared: AtomicU64,
    switched: AtomicU64,
    abandoned: AtomicU64,
}

impl Part for Failing {
    fn name(&self) -> String {
        "a failing part".to_owned()
    }

    fn prepare(&self, version: Arc<Version>) -> PartFuture {
        let fault = *self.fault.lock().unwrap();
        self.prepared.store(version.number, Ordering::SeqCst);
        assert!(fault != Fault::PanicAtPrepare, "as told");
        Box::pin(async move {
            assert!(fault != Fault::PanicInPrepare, "as told");
            if fault == Fault::DeclineAtPrepare { Err("as told".to_owned()) } else { Ok(()) }
        })
    }

    fn activate(&self, number: u64) -> PartFuture {
        let fault = *self.fault.lock().unwrap();
        assert!(fault != Fault::PanicAtSwitch, "as told");
        self.switched.store(number, Ordering::SeqCst);
        Box::pin(async move {
            assert!(fault != Fault::PanicInSwitch, "as told");
            if fault == Fault::DeclineAtSwitch { Err("as told".to_owned()) } else { Ok(()) }
        })
    }

    fn discard(&self, number: u64) -> PartFuture {
        self.abandoned.store(number, Ordering::SeqCst);
        Box::pin(async { Ok(()) })
    }
}

/// An owner that does what it is asked, and tells which version it last took up.
fn owner(requests: async_channel::Receiver<ManagementCall>, in_force: Arc<AtomicU64>) {
    std::thread::spawn(move || {
        let mut ready = None;
        while let Ok(request) = requests.recv_blocking() {
            match request {
                ManagementCall::Prepare { number, reply, .. } => {
                    ready = Some(number);
                    let _ = reply.try_send(Ok(()));
                }
                ManagementCall::Activate { number, reply } => {
                    assert_eq!(ready.take(), Some(number));
                    in_force.store(number, Ordering::SeqCst);
                    let _ = reply.try_send(Ok(()));
                }
                ManagementCall::Discard { number } => drop(ready.take_if(|held| *held == number)),
                ManagementCall::Read { .. } => {}
            }
        }
    });
}

fn managed(part: Arc<Failing>) -> Started {
    let terms = ManagementConfig {
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
    start(terms, names, "n0".into(), Arc::new(|_| {}), vec![part]).map_err(|unfit| unfit.to_string()).unwrap()
}

#[tokio::test]
async fn a_part_that_fails_at_any_step_leaves_one_state_whole() {
    let part = Arc::new(Failing {
        fault: Mutex::new(Fault::None),
        prepared: AtomicU64::new(0),
        switched: AtomicU64::new(0),
        abandoned: AtomicU64::new(0),
    });
    let started = managed(part.clone());
    let in_force = Arc::new(AtomicU64::new(0));
    owner(started.requests.clone(), in_force.clone());
    let hub = started.hub;
    let session = hub.with_store(|store| store.open_session("x", Protocol::Local)).unwrap();
    let path = parse_path("/front/pool[name=a]/cell").unwrap();
    let mut cell = 0;
    for fault in [
        Fault::DeclineAtPrepare,
        Fault::None,
        Fault::PanicAtPrepare,
        Fault::PanicInPrepare,
        Fault::PanicAtSwitch,
        Fault::PanicInSwitch,
        Fault::DeclineAtSwitch,
        Fault::None,
    ] {
        *part.fault.lock().unwrap() = fault;
        cell += 1;
        let before = hub.with_store(|store| store.running().clone());
        let mut place = hub.schema().place(&path).unwrap();
        place.last_mut().unwrap().keys = Some(vec![cell.to_string().into()]);
        let edit = Edit { op: Op::Merge, place, value: Some(Node::Leaf(cell.to_string().into())) };
        let done = hub
            .commit(move |store, now, at| {
                store.edit_running(session, &[edit], &CommitOptions::default(), now, at)
            })
            .await;
        let after = hub.with_store(|store| store.running().clone());
        let fails = matches!(fault, Fault::DeclineAtPrepare | Fault::PanicAtPrepare | Fault::PanicInPrepare);
        if fails {
            assert!(matches!(done, Err(StoreError::Failed(_))), "{fault:?} {done:?}");
            assert!(after.number == before.number && after.tree == before.tree, "{fault:?}");
            // The owner, which was ready, has not moved; and the next commit is not in its way.
            assert_eq!(in_force.load(Ordering::SeqCst), before.number);
            assert_ne!(part.switched.load(Ordering::SeqCst), before.number + 1);
        } else {
            // Once kept, it stands: what failed then takes up the new state, never the old one.
            assert!(done.is_ok(), "{fault:?} {done:?}");
            assert_eq!(after.number, before.number + 1);
            assert_eq!(in_force.load(Ordering::SeqCst), after.number, "{fault:?}");
        }
    }
    assert_eq!(hub.with_store(|store| store.running().number), 5);
}

/// Who asked may go at any moment: what was planned comes to its end, and the order of commits goes on.
#[tokio::test]
async fn a_commit_whose_asker_has_gone_comes_to_its_end() {
    let part = Arc::new(Failing {
        fault: Mutex::new(Fault::None),
        prepared: AtomicU64::new(0),
        switched: AtomicU64::new(0),
        abandoned: AtomicU64::new(0),
    });
    let started = managed(part);
    owner(started.requests.clone(), Arc::default());
    let hub = started.hub;
    let session = hub.with_store(|store| store.open_session("x", Protocol::Local)).unwrap();
    let path = parse_path("/front/log-level").unwrap();
    let place = hub.schema().place(&path).unwrap();
    for level in ["warn", "debug", "error", "trace"] {
        let edit = Edit { op: Op::Merge, place: place.clone(), value: Some(Node::Leaf(level.into())) };
        let commit = hub.commit(move |store, now, at| {
            store.edit_running(session, &[edit], &CommitOptions::default(), now, at)
        });
        // Polled once, then dropped.
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
