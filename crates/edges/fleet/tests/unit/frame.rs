//! Tests that datagrams are sealed and opened, and that messages of maximum size fit a datagram.

use super::*;
use crate::body::{Body, ClassRow, LeaseRow, MAX_ROWS, MemberRow, RegisterRow, StoredRequest, ZoneRow};
use lemonusher_registers as registers;
use lemonusher_zone_failover as zones;
use std::time::Duration;

#[test]
fn only_complete_datagrams_sealed_with_the_key_are_opened() {
    let (key, other) = (FleetKey::new(b"a secret"), FleetKey::new(b"another"));
    let from = Incarnation { name: "n1".into(), id: 5 };
    let frame =
        Frame { from, sequence: 1, config_fingerprint: 9, body: Body::HandOver { task: "account".into() } };
    let sealed = frame.seal(&key).unwrap();
    assert_eq!(Frame::open(&sealed, &key), Ok(frame));
    assert_eq!(Frame::open(&sealed, &other), Err(OpenError::Unauthenticated));
    for index in 0..sealed.len() {
        let mut corrupt = sealed.clone();
        corrupt[index] ^= 1;
        assert_eq!(Frame::open(&corrupt, &key), Err(OpenError::Unauthenticated));
    }
    assert_eq!(Frame::open(&sealed[..3], &key), Err(OpenError::Unauthenticated));
    assert_eq!(Frame::open(&[0; 4000], &key), Err(OpenError::Unauthenticated));
}

fn max_incarnation() -> Incarnation {
    Incarnation { name: "n".repeat(40), id: u64::MAX }
}

fn max_version() -> registers::EntryVersion {
    registers::EntryVersion { epoch: u64::MAX, counter: u64::MAX }
}

/// Asserts that a datagram with this body is within the maximum length.
fn fits(body: Body) {
    let from = max_incarnation();
    let frame = Frame { from, sequence: u64::MAX, config_fingerprint: u64::MAX, body };
    assert!(frame.seal(&FleetKey::new(b"k")).is_some());
}

#[test]
fn a_full_page_of_each_table_fits_a_datagram() {
    full_tables_fit();
    full_register_replies_fit();
    full_reports_fit();
    full_plans_and_requests_fit();
}

fn full_tables_fit() {
    let row = LeaseRow {
        task: "t".repeat(48),
        holder: max_incarnation(),
        fencing_token: u64::MAX,
        remaining: Duration::MAX,
    };
    fits(Body::Leases { is_silent: false, rows: vec![row; MAX_ROWS], more: true });
    let version = max_version();
    let row = RegisterRow { name: "r".repeat(48), version, fencing_token: u64::MAX, value_bytes: u32::MAX };
    fits(Body::Registers { is_voting: true, epoch: u64::MAX, rows: vec![row; MAX_ROWS], more: true });
    let address = "[ffff:ffff::ffff]:65535".parse().unwrap();
    let row = MemberRow { name: "n".repeat(64), address, zone: u32::MAX, incarnation: u64::MAX };
    fits(Body::Members { rows: vec![row; MAX_ROWS], more: true });
}

fn full_register_replies_fit() {
    let version = max_version();
    let ballot = lemonusher_leases::Ballot { round: u64::MAX, proposer: u64::MAX };
    let entry =
        registers::Entry { version, fencing_token: u64::MAX, value: vec![1; registers::MAX_VALUE_BYTES] };
    let row = registers::RegisterState {
        name: "r".repeat(48),
        promised: ballot,
        accepted: Some(registers::AcceptedEntry { ballot, entry }),
    };
    fits(Body::RegisterReply(registers::RegisterReply::StateCopy {
        round: u64::MAX,
        incarnation: u64::MAX,
        without_memory: false,
        epoch: u64::MAX,
        registers: vec![row],
        more: true,
    }));
    let entry =
        registers::Entry { version, fencing_token: u64::MAX, value: vec![1; registers::MAX_VALUE_BYTES] };
    let row = registers::ChangedRegister { name: "r".repeat(48), ballot, entry };
    fits(Body::RegisterReply(registers::RegisterReply::Changes(registers::Changes {
        incarnation: u64::MAX,
        since: u64::MAX,
        revision: u64::MAX,
        registers: vec![row],
        more: true,
    })));
}

fn full_reports_fit() {
    fits(Body::FailureDetector(vec![1; lemonusher_failure_detector::MAX_MESSAGE_BYTES]));
    let version = max_version();
    let stats = zones::ZoneStats {
        zone: 15,
        listed: u16::MAX,
        cores: u32::MAX,
        answering: u16::MAX,
        silent: u16::MAX,
        returned: 1 << 20,
        slow: 1 << 20,
        failed: 1 << 20,
    };
    let demand = zones::Demand { rate: 1e9, work: 1e9 };
    fits(Body::FrontReport(zones::FrontReport {
        zone: 15,
        zones: vec![stats; zones::MAX_ZONES],
        demand: vec![demand; zones::MAX_CLASSES],
    }));
    let confirmation = lemonusher_maintenance::DrainConfirmation { request: 15, version, machine: u32::MAX };
    fits(Body::DrainConfirmations(vec![confirmation; 32]));
}

fn full_plans_and_requests_fit() {
    let version = max_version();
    let stored = Some(StoredRequest { version, value: vec![1; registers::MAX_VALUE_BYTES] });
    fits(Body::MaintenanceShown {
        request: 15,
        stored,
        is_coordinator: true,
        blocked_reason: Some("w".repeat(160)),
    });
    let (state, health) = (zones::ZoneState::Recovering, "CutOff".to_owned());
    let zone = ZoneRow {
        state,
        open_permille: 1000,
        health,
        cores: u32::MAX,
        answering_permille: 1000,
        filled_permille: 1000,
    };
    let class =
        ClassRow { requests_per_second: 1e9, work_seconds: 1e9, served_permille: 1000, is_unplaceable: true };
    fits(Body::PlanShown {
        version: Some(version),
        zones: vec![zone; zones::MAX_ZONES],
        classes: vec![class; zones::MAX_CLASSES],
        shed_order: vec![63; zones::MAX_CLASSES],
    });
}
