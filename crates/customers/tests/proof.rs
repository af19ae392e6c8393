//! A revoked key stops working in time, whatever delays and clock behaviour occur.
//!
//! The tests enumerate the order of a few events: the leader asks the store and receives
//! the answer, another daemon asks the leader and receives its proof, both may be
//! suspended in between, and a request arrives at the daemon.

use stoatwell_customers::FreshnessLimits;
use stoatwell_customers::FreshnessProof;

const REVOKE_MS: u64 = 5_000;
/// All times are multiples of this.
const GRID_MS: u64 = 500;
/// Time of the leader's request to the store; the last time considered follows.
const START_MS: u64 = 100_000;
const END_MS: u64 = START_MS + 9_000;
const OLD: u64 = 7;
const NEW: u64 = 9;

/// How the leader and the other daemon compute ages; all but `Correct` are faulty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// The proof's age counts from the arrival of the store's answer.
    AgeFromReceipt,
    /// The relayed proof's age counts from the arrival of the leader's answer.
    RelayFromReceipt,
    /// Clocks stop while a machine is suspended.
    ClockStops,
    /// A proof of any version is accepted as one of the known version.
    AnyVersion,
}

#[derive(Clone, Copy, Debug)]
struct Timeline {
    store_read: u64,
    leader_received: u64,
    daemon_asked: u64,
    leader_relayed: u64,
    daemon_received: u64,
    called: u64,
    /// Whether leader and daemon were suspended while they held the proof.
    suspended: bool,
}

/// Whether the daemon, which knows the old version, admits the call.
fn admits_call(variant: Variant, timeline: &Timeline, revoked: u64) -> bool {
    let read_version = if revoked > timeline.store_read { OLD } else { NEW };
    let sent = if variant == Variant::AgeFromReceipt { timeline.leader_received } else { START_MS };
    let leader = FreshnessProof::from_store(read_version, sent);
    let paused_ms = |from: u64, to: u64| {
        if timeline.suspended && variant == Variant::ClockStops { to - from } else { 0 }
    };
    // The leader's clock runs 2% slow.
    let age_ms = leader.age_ms(
        timeline.leader_relayed - paused_ms(timeline.leader_received, timeline.leader_relayed),
    ) * 98
        / 100;
    let age_start = if variant == Variant::RelayFromReceipt {
        timeline.daemon_received
    } else {
        timeline.daemon_asked
    };
    let relayed = FreshnessProof::from_peer(leader.version, age_ms, age_start);
    let relayed = if variant == Variant::AnyVersion {
        FreshnessProof { version: OLD, ..relayed }
    } else {
        relayed
    };
    let known = FreshnessProof { version: OLD, as_of_ms: 0 }.merge(relayed);
    let now = timeline.called - paused_ms(timeline.daemon_received, timeline.called);
    known.is_valid(now, &FreshnessLimits::new(REVOKE_MS))
}

/// Number of cases in which a call is admitted later than allowed after its key was revoked.
fn count_late_calls(variant: Variant) -> usize {
    let grid = |from: u64| (from..=END_MS).step_by(GRID_MS as usize);
    let mut late = 0;
    for store_read in grid(START_MS).take(4) {
        for leader_received in grid(store_read).take(5) {
            for daemon_asked in grid(START_MS).take(10) {
                for leader_relayed in grid(leader_received.max(daemon_asked)).take(8) {
                    for daemon_received in grid(leader_relayed).take(5) {
                        for called in grid(daemon_received) {
                            for suspended in [false, true] {
                                let timeline = Timeline {
                                    store_read,
                                    leader_received,
                                    daemon_asked,
                                    leader_relayed,
                                    daemon_received,
                                    called,
                                    suspended,
                                };
                                late += count_late_admissions(variant, &timeline);
                            }
                        }
                    }
                }
            }
        }
    }
    late
}

fn count_late_admissions(variant: Variant, timeline: &Timeline) -> usize {
    let mut late = 0;
    for revoked in (START_MS - REVOKE_MS..timeline.called).step_by(GRID_MS as usize) {
        let allowed = timeline.called <= revoked + REVOKE_MS;
        late += usize::from(!allowed && admits_call(variant, timeline, revoked + 1));
    }
    late
}

#[test]
fn a_revoked_key_is_admitted_in_no_order_of_answers_and_suspensions() {
    assert_eq!(count_late_calls(Variant::Correct), 0);
}

#[test]
fn the_model_detects_each_faulty_variant() {
    for variant in [
        Variant::AgeFromReceipt,
        Variant::RelayFromReceipt,
        Variant::ClockStops,
        Variant::AnyVersion,
    ] {
        assert!(count_late_calls(variant) > 0, "{variant:?} is not detected");
    }
}

/// A daemon that only gets relayed proofs must not refuse callers needlessly.
#[test]
fn a_fresh_proof_admits_callers() {
    let limits = FreshnessLimits::new(REVOKE_MS);
    let proof = FreshnessProof::from_peer(OLD, 600, 10_000);
    assert!(proof.is_valid(10_400, &limits));
    assert!(!proof.needs_renewal(10_400, &limits));
    assert!(proof.needs_renewal(12_000, &limits));
    assert!(!proof.is_valid(14_500, &limits));
}

#[test]
fn a_version_without_proof_admits_no_callers() {
    let limits = FreshnessLimits::new(REVOKE_MS);
    assert!(!FreshnessProof::default().is_valid(100, &limits));
    assert!(FreshnessProof::default().needs_renewal(100, &limits));
}
