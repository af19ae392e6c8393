//! When a daemon may claim the duty.

use stoatwell_node::Candidate;
use stoatwell_node::FAILED_LEADER_TIMEOUT_MS;
use stoatwell_node::LEADER_LEASE_MS;
use stoatwell_node::LeaderLease;
use stoatwell_node::LeaderLeaseView;
use stoatwell_node::Liveness;
use stoatwell_node::probe_interval;
use stoatwell_pool::EXTENSION_WINDOW_MS;

fn fit(name: &str, store_answer_ms: u64) -> Candidate {
    Candidate { name: name.to_owned(), cores: 0.5, link_mbps: 1_000.0, store_answer_ms }
}

fn row(holder: &str) -> LeaderLease {
    LeaderLease {
        holder: holder.to_owned(),
        incarnation: 1,
        address: "10.0.0.1:7720".to_owned(),
        epoch: 3,
        beat: 0,
        released: false,
        earlier_extends_ms: 0,
    }
}

/// The scheduler dies: its row stops changing. Nobody may claim the duty while
/// the holder could still renew it, or two would schedule at once.
#[test]
fn a_silent_holder_keeps_the_duty_for_its_lease() {
    let mut view = LeaderLeaseView::new(0);
    view.observe(Some((row("other"), 10)), 1_000);
    assert!(view.claim_ms(&fit("me", 5), Liveness::Unknown) >= 1_000 + LEADER_LEASE_MS);
    view.observe(Some((row("other"), 11)), 1_500);
    assert!(view.claim_ms(&fit("me", 5), Liveness::Unknown) >= 1_500 + LEADER_LEASE_MS);
    view.observe(Some((row("other"), 11)), 2_500);
    assert!(
        view.claim_ms(&fit("me", 5), Liveness::Unknown) < 2_500 + LEADER_LEASE_MS,
        "the same version is no news"
    );
}

/// A duty that was given up, or that a daemon's former self held, waits for nobody.
#[test]
fn a_free_duty_is_claimed_at_once() {
    let mut view = LeaderLeaseView::new(0);
    view.observe(Some((LeaderLease { released: true, ..row("other") }, 10)), 1_000);
    assert!(view.claim_ms(&fit("me", 5), Liveness::Unknown) < 1_000 + 200);
    view.observe(Some((row("me"), 12)), 2_000);
    assert!(view.claim_ms(&fit("me", 5), Liveness::Unknown) < 2_000 + 200);
    assert_eq!(view.next_epoch(), (12, 4));
}

/// The daemon nearest to the store with the strongest processor and link goes
/// first: each write of the scheduler waits for the store, and each call costs
/// its processor.
#[test]
fn the_fittest_daemon_goes_first() {
    let near = fit("a", 8).claim_delay_ms();
    let far = fit("a", 32).claim_delay_ms();
    let weak = Candidate { cores: 0.12, ..fit("a", 8) }.claim_delay_ms();
    let narrow = Candidate { link_mbps: 10.0, ..fit("a", 8) }.claim_delay_ms();
    assert!(near + 100 < far && near + 100 < weak && near + 100 < narrow);
}

/// The scheduler falls silent, and for all one knows it lives and extends leases of
/// workers that others do not reach. Whoever follows it waits that out; a task
/// would run there and here. One that gave the duty up, or was a former process of
/// the same daemon, extends nothing, and work must not wait for it.
#[test]
fn a_claim_tells_how_long_earlier_schedulers_may_extend_leases() {
    let mut view = LeaderLeaseView::new(0);
    assert_eq!(view.earlier_extends_ms("me", 500), 0, "nobody was there");
    view.observe(Some((row("other"), 10)), 1_000);
    let after_lease_ms = view.earlier_extends_ms("me", 1_000 + LEADER_LEASE_MS);
    assert!(
        (EXTENSION_WINDOW_MS - LEADER_LEASE_MS..=EXTENSION_WINDOW_MS).contains(&after_lease_ms)
    );
    view.observe(Some((row("me"), 11)), 3_000);
    assert_eq!(view.earlier_extends_ms("me", 3_100), 0);
    view.observe(Some((LeaderLease { released: true, ..row("other") }, 12)), 4_000);
    assert_eq!(view.earlier_extends_ms("me", 4_050), 0);
    // The one before the last one may still be there.
    let earlier = LeaderLease { released: true, earlier_extends_ms: 2_000, ..row("other") };
    view.observe(Some((earlier, 13)), 5_000);
    assert_eq!(view.earlier_extends_ms("me", 5_500), 1_500);
}

/// The scheduler is killed, or the store turns its machine away, and it says so when
/// asked. Jobs wait until somebody else schedules, so its row needs to be unchanged
/// only for longer than it is renewed: a holder that lives and that others merely do
/// not reach goes on renewing it, and must not be replaced.
#[test]
fn a_holder_that_is_gone_or_cut_off_is_replaced_soon() {
    for liveness in [Liveness::Gone, Liveness::Isolated] {
        let mut view = LeaderLeaseView::new(0);
        view.observe(Some((row("other"), 10)), 1_000);
        let claim_ms = view.claim_ms(&fit("me", 5), liveness);
        assert!(
            (1_000 + FAILED_LEADER_TIMEOUT_MS..1_900).contains(&claim_ms),
            "{liveness}: {claim_ms}"
        );
        view.observe(Some((row("other"), 11)), 1_500);
        assert!(view.claim_ms(&fit("me", 5), liveness) >= 1_500 + FAILED_LEADER_TIMEOUT_MS);
    }
}

/// The store is away for seconds and comes back. Nobody could renew the row meanwhile,
/// so that it did not change says nothing of its holder. Replaced each time, it would
/// leave callers waiting for a new scheduler on top of the outage.
#[test]
fn time_without_the_store_does_not_count_against_the_holder() {
    let mut view = LeaderLeaseView::new(0);
    view.observe(Some((row("other"), 10)), 1_000);
    view.note_unwritable(5_000);
    assert!(view.claim_ms(&fit("me", 5), Liveness::Healthy) >= 5_000 + LEADER_LEASE_MS);
    assert!(view.claim_ms(&fit("me", 5), Liveness::Isolated) >= 5_000 + FAILED_LEADER_TIMEOUT_MS);
}

/// Guards against a leader that is kept busy by hundreds of daemons asking whether it lives.
#[test]
fn weak_daemons_of_a_large_pool_ask_rarely() {
    let asked_per_s = |is_underprovisioned: bool, daemons: u32| {
        f64::from(daemons) / probe_interval(is_underprovisioned, daemons).as_secs_f64()
    };
    assert!(asked_per_s(true, 130) <= 101.0);
    assert!(probe_interval(true, 1_000).as_secs() <= 2);
    assert_eq!(probe_interval(false, 147), probe_interval(false, 9));
    assert_eq!(probe_interval(true, 9), probe_interval(false, 9));
}

/// Guards against a crowd of daemons that all claim again and again while the row's part of
/// the store is down, so that whichever comes first leads afterwards, however weak.
#[test]
fn after_a_claim_that_failed_the_holder_and_the_fittest_go_first() {
    let weak = Candidate { cores: 0.12, link_mbps: 10.0, ..fit("weak", 5) };
    let strong = fit("strong", 5);
    let mut view = LeaderLeaseView::new(0);
    view.observe(Some((row("other"), 10)), 1_000);
    view.note_unwritable(4_000);
    for liveness in [Liveness::Healthy, Liveness::Isolated, Liveness::Gone] {
        assert!(view.claim_ms(&strong, liveness) >= 4_000 + FAILED_LEADER_TIMEOUT_MS);
        assert!(view.claim_ms(&weak, liveness) > view.claim_ms(&strong, liveness) + 500);
    }
}

/// Guards against a pool that waits, after all daemons started anew, for a far leader to
/// stand back for nearer ones that may not claim its row yet.
#[test]
fn a_daemon_claims_the_row_of_its_former_self_at_once() {
    let far = Candidate { cores: 0.12, ..fit("me", 60) };
    let mut view = LeaderLeaseView::new(0);
    view.observe(Some((row("me"), 10)), 1_000);
    assert_eq!(view.claim_ms(&far, Liveness::Unknown), 1_000);
}
