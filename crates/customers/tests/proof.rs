//! A key that was taken away stops working in time, whatever answers and clocks do.
//!
//! Every order of a few moments is tried: the leader asks the store and hears the answer,
//! another daemon asks the leader and hears it, both may be suspended in between, and a
//! request comes at the last moment at which the daemon lets it in.

use stoatwell_customers::FreshnessLimits;
use stoatwell_customers::FreshnessProof;

const REVOKE_MS: u64 = 5_000;
/// Moments are multiples of this.
const GRID_MS: u64 = 500;
/// The moment of the leader's question, and the last of all.
const BEGIN_MS: u64 = 100_000;
const END_MS: u64 = BEGIN_MS + 9_000;
const OLD: u64 = 7;
const NEW: u64 = 9;

/// How the leader and the other daemon reckon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Sound,
    /// The proof counts from the store's answer.
    AgeFromReceipt,
    /// The relayed proof counts from the leader's answer.
    RelayFromReceipt,
    /// Clocks stand still while a machine is suspended.
    ClockStops,
    /// A proof of any version is taken for one of the version at hand.
    AnyVersion,
}

#[derive(Clone, Copy, Debug)]
struct Moments {
    served: u64,
    heard: u64,
    asked: u64,
    passed: u64,
    arrived: u64,
    called: u64,
    /// Whether leader and daemon were suspended while they held the proof.
    suspended: bool,
}

/// Whether the daemon, which knows the old version, lets the call in.
fn lets_in(way: Way, at: &Moments, revoked: u64) -> bool {
    let answered = if revoked > at.served { OLD } else { NEW };
    let sent = if way == Way::AgeFromReceipt { at.heard } else { BEGIN_MS };
    let leader = FreshnessProof::from_store(answered, sent);
    let slept = |from: u64, to: u64| {
        if at.suspended && way == Way::ClockStops { to - from } else { 0 }
    };
    // The leader's clock runs 2% slow.
    let age_ms = leader.age_ms(at.passed - slept(at.heard, at.passed)) * 98 / 100;
    let asked = if way == Way::RelayFromReceipt { at.arrived } else { at.asked };
    let relayed = FreshnessProof::from_peer(leader.version, age_ms, asked);
    let relayed =
        if way == Way::AnyVersion { FreshnessProof { version: OLD, ..relayed } } else { relayed };
    let known = FreshnessProof { version: OLD, as_of_ms: 0 }.merge(relayed);
    let now = at.called - slept(at.arrived, at.called);
    known.is_valid(now, &FreshnessLimits::new(REVOKE_MS))
}

/// Cases in which a call is let in later than allowed after its key was taken away.
fn late_calls(way: Way) -> usize {
    let grid = |from: u64| (from..=END_MS).step_by(GRID_MS as usize);
    let mut late = 0;
    for served in grid(BEGIN_MS).take(4) {
        for heard in grid(served).take(5) {
            for asked in grid(BEGIN_MS).take(10) {
                for passed in grid(heard.max(asked)).take(8) {
                    for arrived in grid(passed).take(5) {
                        for called in grid(arrived) {
                            for suspended in [false, true] {
                                let at = Moments {
                                    served,
                                    heard,
                                    asked,
                                    passed,
                                    arrived,
                                    called,
                                    suspended,
                                };
                                late += late_for(way, &at);
                            }
                        }
                    }
                }
            }
        }
    }
    late
}

fn late_for(way: Way, at: &Moments) -> usize {
    let mut late = 0;
    for revoked in (BEGIN_MS - REVOKE_MS..at.called).step_by(GRID_MS as usize) {
        let allowed = at.called <= revoked + REVOKE_MS;
        late += usize::from(!allowed && lets_in(way, at, revoked + 1));
    }
    late
}

#[test]
fn a_revoked_key_is_let_in_by_no_order_of_answers_and_suspensions() {
    assert_eq!(late_calls(Way::Sound), 0);
}

#[test]
fn the_model_finds_each_broken_way_to_reckon() {
    for way in [Way::AgeFromReceipt, Way::RelayFromReceipt, Way::ClockStops, Way::AnyVersion] {
        assert!(late_calls(way) > 0, "{way:?} is not found");
    }
}

/// A daemon that is served by proofs alone must not refuse its callers needlessly.
#[test]
fn a_fresh_proof_lets_callers_in() {
    let limits = FreshnessLimits::new(REVOKE_MS);
    let proof = FreshnessProof::from_peer(OLD, 600, 10_000);
    assert!(proof.is_valid(10_400, &limits));
    assert!(!proof.needs_renewal(10_400, &limits));
    assert!(proof.needs_renewal(12_000, &limits));
    assert!(!proof.is_valid(14_500, &limits));
}

#[test]
fn a_version_that_was_never_proved_lets_nobody_in() {
    let limits = FreshnessLimits::new(REVOKE_MS);
    assert!(!FreshnessProof::default().is_valid(100, &limits));
    assert!(FreshnessProof::default().needs_renewal(100, &limits));
}
