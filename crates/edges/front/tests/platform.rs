//! Requirements of the platform on the front binary: one dynamically linked process that has no children and
//! imports no function for a call that the platform refuses.

use lemonusher_fakes::*;
use object::{Object, ObjectSymbol};
use std::collections::BTreeSet;

const FRONT: &str = env!("CARGO_BIN_EXE_lemonusher-front");

/// Calls that the platform refuses, by the names of their C library functions.
const REFUSED: [&str; 7] =
    ["fork", "vfork", "posix_spawn", "posix_spawnp", "splice", "sendfile", "sendfile64"];

#[test]
fn the_front_is_linked_dynamically_and_makes_no_refused_call() {
    let bytes = std::fs::read(FRONT).unwrap();
    let file = object::File::parse(&*bytes).unwrap();
    let wanted: BTreeSet<String> = file
        .dynamic_symbols()
        .filter(|symbol| symbol.is_undefined())
        .filter_map(|symbol| symbol.name().ok().map(|name| name.split('@').next().unwrap_or(name).to_owned()))
        .collect();
    // A library that is loaded before the C library can only interpose functions that the binary imports from it.
    for name in ["__libc_start_main", "clock_gettime", "read", "write"] {
        assert!(wanted.contains(name), "{name} is not imported from the C library");
    }
    let refused: Vec<&&str> = REFUSED.iter().filter(|name| wanted.contains(**name)).collect();
    assert!(refused.is_empty(), "{refused:?}");
}

#[test]
fn a_front_at_work_is_one_process_without_children() {
    let (engine, commands) = (Engine::start(), DiscoveryServer::start());
    let front = Front::start(FRONT, &start_config(&[(1, engine.address)], commands.address));
    let mut client = front.client();
    for id in 1..=20 {
        client.send_request(id, "look-up");
        engine.next_message("serve").respond("HIT", "fetches=1", b"a\tb\tc\n");
        client.expect_result(id, b"a\tb\tc\n");
    }
    let tasks: Vec<String> = std::fs::read_dir(format!("/proc/{}/task", front.id()))
        .unwrap()
        .map(|task| std::fs::read_to_string(task.unwrap().path().join("comm")).unwrap().trim().to_owned())
        .collect();
    let children =
        std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", front.id())).unwrap_or_default();
    assert!(children.trim().is_empty(), "children {children}");
    let open: Vec<String> = std::fs::read_dir(format!("/proc/{}/fd", front.id()))
        .unwrap()
        .filter_map(|fd| Some(std::fs::read_link(fd.ok()?.path()).ok()?.to_string_lossy().into_owned()))
        .collect();
    assert!(
        open.iter().any(|what| what.contains("eventpoll"))
            && !open.iter().any(|what| what.contains("io_uring"))
    );
    // The main thread and the reactor's. Work starts no more threads.
    assert!(tasks.len() <= 2, "{tasks:?}");
}
