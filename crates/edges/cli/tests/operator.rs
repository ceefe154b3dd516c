//! The commands that send requests to the fleet, against fake voters whose replies are late, repeated or lost.

use lemonusher_fakes::{start_config, temp_path};
use lemonusher_fleet::{Body, FleetKey, Frame, LeaseRow, MemberRow, RegisterRow};
use lemonusher_leases::Incarnation;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const KEY: &str = "the key of the operator's tests";
const TASK: &str = "yard";
const LEASE: Duration = Duration::from_millis(200);

/// Starts a fake voter. For each message, `answer` receives the message's number, from 0, and its body, and
/// returns the bodies to reply with, one datagram each.
fn start_voter(answer: impl Fn(usize, &Body) -> Vec<Body> + Send + 'static) -> Voter {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let (send, received) = channel();
    std::thread::spawn(move || {
        let (key, mut sequence) = (FleetKey::new(KEY.as_bytes()), 0);
        let mut bytes = [0; 2048];
        for number in 0.. {
            let Ok((length, from)) = socket.recv_from(&mut bytes) else { return };
            let frame = Frame::open(&bytes[..length], &key).unwrap();
            for body in answer(number, &frame.body) {
                sequence += 1;
                let from_voter = Incarnation { name: "voter".to_owned(), id: 1 };
                let reply = Frame { from: from_voter, sequence, body, ..frame.clone() };
                socket.send_to(&reply.seal(&key).unwrap(), from).unwrap();
            }
            if send.send(frame.body).is_err() {
                return;
            }
        }
    });
    Voter { address, received }
}

struct Voter {
    address: SocketAddr,
    received: Receiver<Body>,
}

fn lease(holder: &str, fencing_token: u64) -> Body {
    let holder = Incarnation { name: holder.to_owned(), id: 7 };
    let row = LeaseRow { task: TASK.to_owned(), holder, fencing_token, remaining: LEASE };
    Body::Leases { is_silent: false, rows: vec![row], more: false }
}

/// The reply of a voter with one lease, one register and one other front.
fn default_reply(body: &Body) -> Option<Body> {
    let version = Default::default();
    let register = RegisterRow { name: "r".to_owned(), version, fencing_token: 1, value_bytes: 3 };
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let member = MemberRow { name: "n2".to_owned(), address, zone: 0, incarnation: 1 };
    match body {
        Body::ShowLeases { .. } => Some(lease("n1", 5)),
        Body::ShowRegisters { .. } => {
            Some(Body::Registers { is_voting: true, epoch: 1, rows: vec![register], more: false })
        }
        Body::ShowMembers { .. } => Some(Body::Members { rows: vec![member], more: false }),
        _ => None,
    }
}

/// A temporary folder with an operator's file; removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(voters: &[Voter]) -> Folder {
        let folder = temp_path("operator");
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("key"), KEY).unwrap();
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        std::fs::write(folder.join("front.json"), start_config(&[], unused_address).to_string()).unwrap();
        let voters: Vec<String> = voters.iter().map(|voter| format!("'{}'", voter.address)).collect();
        let text = format!(
            "[front]\ntold = 'front.json'\n[fleet]\nlisten = '127.0.0.1:0'\nkey_file = 'key'\nvoters = [{}]\nlease_ms = {}\n",
            voters.join(", "),
            LEASE.as_millis(),
        );
        std::fs::write(folder.join("operator.toml"), text).unwrap();
        Folder(folder)
    }

    /// Runs a command with this file. Returns its exit code and its output on stdout and stderr.
    fn run(&self, verb: &str, arguments: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lemonusher"));
        let output = command.arg(verb).arg(self.0.join("operator.toml")).args(arguments).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        (output.status.code().unwrap(), text)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against a late reply to one request being taken for the reply to the next.
#[test]
fn a_question_that_was_answered_twice_does_not_spoil_the_next() {
    // Each message gets two replies, like a request that was resent before its first reply was received.
    let voters: Vec<Voter> = (0..3)
        .map(|_| {
            start_voter(|_, body| default_reply(body).into_iter().flat_map(|b| [b.clone(), b]).collect())
        })
        .collect();
    let (code, text) = Folder::new(&voters).run("fleet", &[]);
    assert_eq!(code, 0, "{text}");
    for line in ["voter 127.0.0.1", TASK, "registers: it votes", "it sees 1 other fronts: n2"] {
        assert_eq!(text.matches(line).count(), 3, "{line}: {text}");
    }
}

/// Guards against showing a voter as unreachable that is slow on a busy machine or behind a link that loses
/// datagrams.
#[test]
fn a_voter_whose_first_three_replies_are_lost_is_shown() {
    let voters: Vec<Voter> = (0..3)
        .map(|_| {
            start_voter(|number, body| default_reply(body).into_iter().filter(|_| number >= 3).collect())
        })
        .collect();
    let (code, text) = Folder::new(&voters).run("fleet", &[]);
    assert!(code == 0 && !text.contains("does not answer"), "{code} {text}");
}

/// Guards against a hand-over that does not happen because its datagram was lost. The request must not be sent
/// again once another front holds the task.
#[test]
fn a_hand_over_is_asked_for_again_until_another_front_holds_the_task() {
    // The voters ignore the first request, and show another holder after the second.
    let voters: Vec<Voter> = (0..3)
        .map(|_| {
            let requests = std::sync::atomic::AtomicU32::new(0);
            start_voter(move |_, body| match body {
                Body::HandOver { .. } => {
                    requests.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    Vec::new()
                }
                _ if requests.load(std::sync::atomic::Ordering::SeqCst) >= 2 => vec![lease("n2", 6)],
                _ => vec![lease("n1", 5)],
            })
        })
        .collect();
    let from = Instant::now();
    let (code, text) = Folder::new(&voters).run("hand-over", &[TASK]);
    assert!(code == 0 && text.contains("from n1") && text.contains("to n2"), "{code} {text}");
    // The request is sent again only after one lease duration: a lease released before has expired by then.
    assert!(from.elapsed() >= LEASE, "{:?}", from.elapsed());
    for voter in &voters {
        let requests = voter.received.try_iter().filter(|body| matches!(body, Body::HandOver { .. })).count();
        assert_eq!(requests, 2);
    }
}
