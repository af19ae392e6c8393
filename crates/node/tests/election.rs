//! When a daemon may claim the leader lease.

use std::collections::BTreeMap;

use stoatwell_model::WorkerId;
use stoatwell_node::Candidate;
use stoatwell_node::FAILED_LEADER_TIMEOUT_MS;
use stoatwell_node::LEADER_LEASE_MS;
use stoatwell_node::LeaderLease;
use stoatwell_node::LeaderLeaseView;
use stoatwell_node::Liveness;
use stoatwell_node::LivenessDetector;
use stoatwell_node::ProbeResult;
use stoatwell_node::RENEW_INTERVAL_MS;
use stoatwell_node::probe_interval;
use stoatwell_pool::EXTENSION_WINDOW_MS;

fn candidate(name: &str, store_latency_ms: u64) -> Candidate {
    Candidate { name: name.to_owned(), cores: 0.5, link_mbps: 1_000.0, store_latency_ms }
}

fn lease_row(holder: &str) -> LeaderLease {
    LeaderLease {
        holder: holder.to_owned(),
        incarnation: 1,
        address: "10.0.0.1:7720".to_owned(),
        epoch: 3,
        beat: 0,
        released: false,
        earlier_extends_ms: 0,
        silent_leases: BTreeMap::new(),
    }
}

/// The leader crashes and its row stops changing. Guards against two leaders at once: no
/// daemon may claim the lease while its holder could still renew it.
#[test]
fn a_holder_without_renewals_keeps_the_lease_until_it_expires() {
    let mut view = LeaderLeaseView::new(0);
    view.observe(Some((lease_row("other"), 10)), 1_000);
    assert!(view.claim_due_ms(&candidate("me", 5), Liveness::Unknown) >= 1_000 + LEADER_LEASE_MS);
    view.observe(Some((lease_row("other"), 11)), 1_500);
    assert!(view.claim_due_ms(&candidate("me", 5), Liveness::Unknown) >= 1_500 + LEADER_LEASE_MS);
    view.observe(Some((lease_row("other"), 11)), 2_500);
    assert!(
        view.claim_due_ms(&candidate("me", 5), Liveness::Unknown) < 2_500 + LEADER_LEASE_MS,
        "the same version is no renewal"
    );
}

/// Guards against a wait for a lease that was released or that a former process of the same
/// daemon held.
#[test]
fn a_free_lease_is_claimed_at_once() {
    let mut view = LeaderLeaseView::new(0);
    view.observe(Some((LeaderLease { released: true, ..lease_row("other") }, 10)), 1_000);
    assert!(view.claim_due_ms(&candidate("me", 5), Liveness::Unknown) < 1_000 + 200);
    view.observe(Some((lease_row("me"), 12)), 2_000);
    assert!(view.claim_due_ms(&candidate("me", 5), Liveness::Unknown) < 2_000 + 200);
    assert_eq!(view.next_epoch(), (12, 4));
}

/// The daemon with the lowest store latency and the most CPU and bandwidth claims first, as
/// each write of the leader waits for the store and each call costs CPU time.
#[test]
fn the_strongest_candidate_claims_first() {
    let near = candidate("a", 8).claim_delay_ms();
    let far = candidate("a", 32).claim_delay_ms();
    let weak = Candidate { cores: 0.12, ..candidate("a", 8) }.claim_delay_ms();
    let narrow = Candidate { link_mbps: 10.0, ..candidate("a", 8) }.claim_delay_ms();
    assert!(near + 100 < far && near + 100 < weak && near + 100 < narrow);
}

/// A leader that no longer responds may still be alive and extend leases of workers that
/// others cannot reach. Guards against tasks that run twice: its successor waits until it has
/// stopped extending them. A leader that released the lease, or was a former process of the
/// same daemon, extends none, so that nothing has to wait for it.
#[test]
fn a_claim_states_how_long_earlier_leaders_may_extend_leases() {
    let mut view = LeaderLeaseView::new(0);
    assert_eq!(view.earlier_extends_ms("me", 500), 0, "there was no earlier leader");
    view.observe(Some((lease_row("other"), 10)), 1_000);
    let after_lease_ms = view.earlier_extends_ms("me", 1_000 + LEADER_LEASE_MS);
    assert!(
        (EXTENSION_WINDOW_MS - LEADER_LEASE_MS..=EXTENSION_WINDOW_MS).contains(&after_lease_ms)
    );
    view.observe(Some((lease_row("me"), 11)), 3_000);
    assert_eq!(view.earlier_extends_ms("me", 3_100), 0);
    view.observe(Some((LeaderLease { released: true, ..lease_row("other") }, 12)), 4_000);
    assert_eq!(view.earlier_extends_ms("me", 4_050), 0);
    // The leader before the last one may still be alive.
    let earlier = LeaderLease { released: true, earlier_extends_ms: 2_000, ..lease_row("other") };
    view.observe(Some((earlier, 13)), 5_000);
    assert_eq!(view.earlier_extends_ms("me", 5_500), 1_500);
}

/// The leader was killed, or the store refuses its requests and it reports so when probed.
/// Jobs wait until another daemon leads, so its row needs to be unchanged only for longer
/// than the renewal interval. Guards against the replacement of a holder that is alive and
/// only unreachable for others: it continues to renew the row.
#[test]
fn a_failed_or_isolated_holder_is_replaced_soon() {
    for liveness in [Liveness::Gone, Liveness::Isolated] {
        let mut view = LeaderLeaseView::new(0);
        view.observe(Some((lease_row("other"), 10)), 1_000);
        let claim_due_ms = view.claim_due_ms(&candidate("me", 5), liveness);
        assert!(
            (1_000 + FAILED_LEADER_TIMEOUT_MS..1_900).contains(&claim_due_ms),
            "{liveness}: {claim_due_ms}"
        );
        view.observe(Some((lease_row("other"), 11)), 1_500);
        assert!(
            view.claim_due_ms(&candidate("me", 5), liveness) >= 1_500 + FAILED_LEADER_TIMEOUT_MS
        );
    }
}

/// The store is unavailable for seconds, and no daemon can renew the row meanwhile. Guards
/// against a change of leader after each outage, for which callers would have to wait in
/// addition: that the row did not change says nothing about its holder.
#[test]
fn time_without_the_store_does_not_count_against_the_holder() {
    let mut view = LeaderLeaseView::new(0);
    view.observe(Some((lease_row("other"), 10)), 1_000);
    view.record_store_failure(5_000);
    assert!(view.claim_due_ms(&candidate("me", 5), Liveness::Healthy) >= 5_000 + LEADER_LEASE_MS);
    assert!(
        view.claim_due_ms(&candidate("me", 5), Liveness::Isolated)
            >= 5_000 + FAILED_LEADER_TIMEOUT_MS
    );
}

/// Guards against a leader that is kept busy by the liveness probes of hundreds of daemons.
#[test]
fn weak_daemons_of_a_large_pool_probe_rarely() {
    let probes_per_s = |is_underprovisioned: bool, daemons: u32| {
        f64::from(daemons) / probe_interval(is_underprovisioned, daemons).as_secs_f64()
    };
    assert!(probes_per_s(true, 130) <= 101.0);
    assert!(probe_interval(true, 1_000).as_secs() <= 2);
    assert_eq!(probe_interval(false, 147), probe_interval(false, 9));
    assert_eq!(probe_interval(true, 9), probe_interval(false, 9));
}

/// Guards against all daemons claiming again and again while the row's partition of the store
/// is down, so that the first one to succeed leads afterwards, however weak it is.
#[test]
fn after_a_failed_claim_the_holder_and_the_strongest_candidates_go_first() {
    let weak = Candidate { cores: 0.12, link_mbps: 10.0, ..candidate("weak", 5) };
    let strong = candidate("strong", 5);
    let mut view = LeaderLeaseView::new(0);
    view.observe(Some((lease_row("other"), 10)), 1_000);
    view.record_store_failure(4_000);
    for liveness in [Liveness::Healthy, Liveness::Isolated, Liveness::Gone] {
        assert!(view.claim_due_ms(&strong, liveness) >= 4_000 + FAILED_LEADER_TIMEOUT_MS);
        assert!(view.claim_due_ms(&weak, liveness) > view.claim_due_ms(&strong, liveness) + 500);
    }
}

/// Guards against a pool that waits after a restart of all daemons because the former holder,
/// far from the store, gives precedence to nearer ones that may not claim its row yet.
#[test]
fn a_daemon_reclaims_its_own_row_at_once_after_a_restart() {
    let far = Candidate { cores: 0.12, ..candidate("me", 60) };
    let mut view = LeaderLeaseView::new(0);
    view.observe(Some((lease_row("me"), 10)), 1_000);
    assert_eq!(view.claim_due_ms(&far, Liveness::Unknown), 1_000);
}

/// Guards against a wait for a dead worker that starts again with each leader: a claim takes over
/// the remaining times that the row names.
#[test]
fn a_claim_takes_over_the_leases_of_silent_workers() {
    let silent_leases = BTreeMap::from([(WorkerId::new("w1"), 1_200)]);
    let mut view = LeaderLeaseView::new(0);
    assert!(view.silent_leases().is_empty());
    view.observe(
        Some((LeaderLease { silent_leases: silent_leases.clone(), ..lease_row("other") }, 10)),
        1_000,
    );
    assert_eq!(view.silent_leases(), silent_leases);
}

/// Guards against daemons of two versions that cannot read each other's row of the leader lease.
#[test]
fn a_lease_row_without_silent_workers_is_written_as_before() {
    let row = serde_json::to_string(&lease_row("other")).expect("a row");
    assert!(!row.contains("silent_leases"), "{row}");
    let read: LeaderLease = serde_json::from_str(&row).expect("the same row");
    assert_eq!(read, lease_row("other"));
}

const ANSWERED: ProbeResult = ProbeResult::Leads { reaches_store: true };
/// When the load of [`Play`] begins.
const LOAD_AT_MS: u64 = 8_000;
const PLAY_END_MS: u64 = 40_000;

/// A leader and a candidate in virtual time, from when the leader has acquired the lease.
struct Play {
    random: u64,
    view: LeaderLeaseView,
    detector: LivenessDetector,
    liveness: Liveness,
}

impl Play {
    fn new(seed: u64) -> Self {
        let random = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let view = LeaderLeaseView::new(0);
        Self { random, view, detector: LivenessDetector::default(), liveness: Liveness::Unknown }
    }

    fn up_to(&mut self, max: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % (max + 1)
    }

    /// Renews until `end_ms`; the candidate probes after each renewal. Returns when the candidate
    /// saw the last renewal, or `Err` with the time at which it claimed the lease.
    fn renew_until(
        &mut self,
        end_ms: u64,
        candidate: &Candidate,
        delays: impl Fn(&mut Self, u64) -> (u64, u64),
        probe: impl Fn(u64) -> ProbeResult,
    ) -> Result<u64, u64> {
        let (mut written_ms, mut seen_ms, mut beat) = (0, 0, 0);
        while written_ms < end_ms {
            let (write_delay_ms, read_delay_ms) = delays(self, written_ms);
            written_ms += RENEW_INTERVAL_MS + write_delay_ms;
            let due_ms = self.view.claim_due_ms(candidate, self.liveness);
            if beat > 0 && due_ms < written_ms {
                return Err(due_ms);
            }
            beat += 1;
            seen_ms = seen_ms.max(written_ms + read_delay_ms);
            self.view.observe(Some((LeaderLease { beat, ..lease_row("other") }, beat)), seen_ms);
            for _ in 0..3 {
                self.probe(probe(written_ms));
            }
        }
        Ok(seen_ms)
    }

    fn probe(&mut self, result: ProbeResult) {
        self.liveness = self.detector.record(result).unwrap_or(self.liveness);
    }
}

/// Guards against a change of leader by load alone: from one moment on, the leader answers no
/// probe and its renewals are late, up to the time in which another one would be due.
#[test]
fn a_leader_that_is_slow_of_a_sudden_is_not_replaced() {
    for seed in 1..=200 {
        let mut play = Play::new(seed);
        let latency_ms = 5 + play.up_to(25);
        let candidate = candidate("me", latency_ms);
        let delays = |play: &mut Play, at_ms: u64| match at_ms {
            0..LOAD_AT_MS => (2 * latency_ms, play.up_to(2 * latency_ms)),
            _ => (2 * latency_ms + play.up_to(450), play.up_to(450)),
        };
        let probe = |at_ms| if at_ms < LOAD_AT_MS { ANSWERED } else { ProbeResult::NoAnswer };
        let kept = play.renew_until(PLAY_END_MS, &candidate, delays, probe);
        assert!(kept.is_ok(), "seed {seed}: claimed at {kept:?}");
        assert_eq!(play.liveness, Liveness::Unresponsive);
    }
}

/// Guards against a change of leader by load that grows: the renewals take longer and longer, and
/// no probe is answered.
#[test]
fn the_time_out_of_a_slow_leader_follows_its_renewals() {
    for seed in 1..=200 {
        let mut play = Play::new(seed);
        let candidate = candidate("me", 10);
        let delays = |play: &mut Play, at_ms: u64| {
            let late_ms = at_ms.saturating_sub(LOAD_AT_MS) / 40;
            (late_ms + play.up_to(late_ms / 4), play.up_to(50))
        };
        let probe = |at_ms| if at_ms < LOAD_AT_MS { ANSWERED } else { ProbeResult::NoAnswer };
        let kept = play.renew_until(PLAY_END_MS, &candidate, delays, probe);
        assert!(kept.is_ok(), "seed {seed}: claimed at {kept:?}");
    }
}

/// Guards against jobs that wait longer for the successor of a leader that is gone or silent than
/// its lease demands, however slow it was before.
#[test]
fn a_dead_leader_is_replaced_in_bounded_time() {
    for seed in 1..=200 {
        let mut play = Play::new(seed);
        let latency_ms = 5 + play.up_to(5);
        let candidate = candidate("me", latency_ms);
        let is_loaded = seed % 2 == 0;
        let delays = |play: &mut Play, _| {
            if is_loaded {
                return (play.up_to(1_000), play.up_to(50));
            }
            (2 * latency_ms, play.up_to(20))
        };
        let seen_ms = play
            .renew_until(LOAD_AT_MS, &candidate, delays, |_| ANSWERED)
            .unwrap_or_else(|at_ms| panic!("seed {seed}: claimed at {at_ms}"));
        let delay_ms = candidate.claim_delay_ms();
        for _ in 0..2 {
            play.probe(ProbeResult::NoAnswer);
        }
        let silent_ms = play.view.claim_due_ms(&candidate, play.liveness) - seen_ms - delay_ms;
        let silent_max_ms = if is_loaded { LEADER_LEASE_MS } else { 1_150 };
        assert!(silent_ms <= silent_max_ms, "seed {seed}: {silent_ms}");
        play.probe(ProbeResult::Refused);
        let gone_ms = play.view.claim_due_ms(&candidate, play.liveness) - seen_ms - delay_ms;
        assert_eq!(gone_ms, FAILED_LEADER_TIMEOUT_MS + 2 * latency_ms, "seed {seed}");
    }
}

/// Guards against a live leader that counts as gone by probes that it did not answer in time, and
/// against a killed one that does not.
#[test]
fn only_evidence_shows_that_a_leader_is_gone() {
    let last = |results: &[ProbeResult]| {
        let mut detector = LivenessDetector::default();
        results.iter().filter_map(|result| detector.record(*result)).last()
    };
    let (unanswered, refused) = (ProbeResult::NoAnswer, ProbeResult::Refused);
    assert_eq!(last(&[unanswered]), None);
    assert_eq!(last(&[unanswered; 100]), Some(Liveness::Unresponsive));
    assert_eq!(last(&[unanswered, ANSWERED, unanswered]), Some(Liveness::Healthy));
    assert_eq!(last(&[unanswered, refused]), Some(Liveness::Gone));
    assert_eq!(last(&[unanswered, unanswered, refused]), Some(Liveness::Gone));
    assert_eq!(last(&[ProbeResult::DoesNotLead; 2]), Some(Liveness::Gone));
    assert_eq!(last(&[ProbeResult::DoesNotLead, ANSWERED]), Some(Liveness::Healthy));
}
