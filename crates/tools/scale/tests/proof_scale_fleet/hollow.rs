//! The mean traffic and state of simulated fronts are within a tenth of those of real fronts, and a simulation is
//! reproducible.

use lemonusher_fleet::MessageKind;
use lemonusher_scale::fleet::{Account, Delays, Registers, Setup, SideBySide, Simulation, side_by_side};
use std::time::Duration;

/// Lease duration of tests without sockets: a fifth of the default lease.
const SHORT_LEASE: Duration = Duration::from_millis(600);
/// The default lease duration. A wait on a socket ends up to 8 ms late, which is little compared with this lease's
/// timers.
const LEASE: Duration = Duration::from_secs(3);
const SETTLE_TIME: Duration = Duration::from_secs(10);
const SPAN: Duration = Duration::from_secs(40);
const FRONTS: usize = 24;
/// The share by which simulated and real fronts may differ.
const TENTH: f64 = 0.1;
/// A comparison with more lateness than this is repeated: probes stay unanswered then, because the machine is busy.
const MAX_LATENESS: Duration = Duration::from_millis(100);
const MAX_TRIES: usize = 5;

fn setup(registers: Registers, lease: Duration) -> Setup {
    let mut setup = Setup::detector(FRONTS, 0.0, 1);
    setup.leases.duration = lease;
    setup.leases.max_action_time = Duration::from_millis(100);
    Setup { quota_slots: true, task: true, registers, ..setup }
}

fn undisturbed(setup: &Setup, span: Duration) -> SideBySide {
    for _ in 1..MAX_TRIES {
        let compared = side_by_side(setup, SETTLE_TIME, span).unwrap();
        if compared.lateness < MAX_LATENESS {
            return compared;
        }
        println!("compares anew: the rig was {:?} late", compared.lateness);
    }
    side_by_side(setup, SETTLE_TIME, span).unwrap()
}

type Figure = (&'static str, fn(&Account) -> f64);

const FIGURES: [Figure; 5] = [
    ("messages_out", |account| account.sent.messages as f64),
    ("bytes_out", |account| account.sent.bytes as f64),
    ("messages_in", |account| account.received.messages as f64),
    ("bytes_in", |account| account.received.bytes as f64),
    ("state", |account| account.state_bytes as f64),
];

fn assert_near(name: &str, real: f64, hollow: f64) {
    let ratio = hollow / real;
    println!("proof: hollow_to_real_{name} {ratio:.3} ({hollow:.0} to {real:.0})");
    assert!((ratio - 1.0).abs() <= TENTH, "{name}: hollow {hollow}, real {real}");
}

fn compare_over_loopback(what: &str, registers: Registers) {
    let compared = undisturbed(&setup(registers, LEASE), SPAN);
    for (figure, of) in FIGURES {
        assert_near(&format!("{what}_{figure}"), compared.real_mean(of), compared.hollow_mean(of));
    }
    println!("proof: hollow_to_real_{what}_late_ms {}", compared.lateness.as_millis());
}

#[test]
fn with_leases_alone_a_hollow_front_is_within_a_tenth_of_a_real_one() {
    compare_over_loopback("leases", Registers::None);
}

#[test]
fn with_all_registers_a_hollow_front_is_within_a_tenth_of_a_real_one() {
    compare_over_loopback("all", Registers::ZonesAndWorks);
}

/// The mean traffic and state of simulated fronts in virtual time are within a tenth of those of real fronts that use
/// sockets.
#[test]
fn over_virtual_time_a_hollow_front_is_within_a_tenth_of_a_real_one() {
    let mut setup = setup(Registers::ZonesAndWorks, LEASE);
    // About the delay of loopback.
    let soon = Duration::from_micros(100);
    setup.delays = Delays { same_zone: soon, same_region: soon, between_regions: soon };
    let compared = undisturbed(&setup, SPAN);
    let mut simulation = Simulation::new(setup.clone());
    simulation.run_for(SETTLE_TIME);
    let kinds =
        [MessageKind::FailureDetector, MessageKind::Leases, MessageKind::Registers, MessageKind::Reports];
    let fronts = setup.voters..setup.fronts;
    let before: Vec<_> = fronts.clone().map(|front| simulation.traffic(front)).collect();
    simulation.run_for(SPAN);
    let accounts: Vec<Account> = fronts
        .zip(before)
        .map(|(front, before)| {
            let after = simulation.traffic(front);
            Account {
                sent: after.sent(&kinds) - before.sent(&kinds),
                received: after.received(&kinds) - before.received(&kinds),
                state_bytes: simulation.census(front).bytes,
                processor: Duration::ZERO,
            }
        })
        .collect();
    for (figure, of) in FIGURES {
        let mean = accounts.iter().map(of).sum::<f64>() / accounts.len() as f64;
        assert_near(&format!("virtual_{figure}"), compared.real_mean(of), mean);
    }
}

/// Two runs with the same seed end with the same traffic and statistics at every front.
#[test]
fn a_simulation_repeats_itself() {
    let run = || {
        let mut setup = setup(Registers::ZonesAndWorks, SHORT_LEASE);
        setup.loss = 0.05;
        let mut simulation = Simulation::new(setup);
        simulation.run_for(Duration::from_secs(8));
        (0..FRONTS).map(|front| (simulation.traffic(front), simulation.census(front))).collect::<Vec<_>>()
    };
    assert!(run() == run());
}
