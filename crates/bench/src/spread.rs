//! How long a catalogue change takes to reach the last daemon and how much traffic it
//! causes, for several ways of spreading it.
//!
//! "polling" and "polling with hints" run the engines themselves, the first without
//! connections between daemons, so that no hints arrive. The related paper's tree is
//! computed from its rule (a third and two thirds of the list at each layer, then a
//! sweep of neighbours) with the same loss and delays.

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use stoatwell_catalogue::edit::EditKind;
use stoatwell_catalogue::target_key;
use stoatwell_model::OwnerName;
use stoatwell_model::WorkerId;
use stoatwell_model::target::TargetChange;
use stoatwell_world::World;
use stoatwell_world::layout::Layout;

const SETTLE_MS: u64 = 20_000;
const LIMIT_MS: u64 = 30_000;
const STEP_MS: u64 = 10;
const LOSS_PERMILLE: u32 = 20;
/// A lost message of the tree is resent after this time without an acknowledgement.
const TREE_ACK_MS: u64 = 100;
/// Longest one-way delay between daemons, the same as in the simulated world.
const DELAY_MS: u64 = 8;

/// Time and traffic of one change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpreadCost {
    /// Time until the last daemon had the change; `LIMIT_MS` if it never got it.
    pub(crate) last_daemon_ms: u64,
    pub(crate) messages: u64,
    pub(crate) cross_region_bytes: u64,
}

/// Makes one change in a simulated cell of real engines.
pub(crate) fn measure_engines(daemons_per_zone: usize, hints: bool, cut_zone: bool) -> SpreadCost {
    let layout = Layout::nine_zones(daemons_per_zone, 1);
    let mut world = World::new(11, &layout);
    world.run_ms(SETTLE_MS);
    world.drop_permille = LOSS_PERMILLE;
    if !hints {
        for a in 0..world.nodes.len() {
            for b in 0..world.nodes.len() {
                world.cut_peers(a, b);
            }
        }
    }
    if cut_zone {
        for index in world.nodes_in_zone("zone-3") {
            world.store_cut.insert(index);
        }
    }
    let worker = WorkerId::new("zone-0-w0");
    let change = TargetChange::Start { owner: OwnerName::new("bluebonnet") };
    let before: Vec<_> = world.nodes.iter().map(|node| node.counts).collect();
    let target_revision = world.engine(0).catalogue().revision() + 1;
    let started_ms = world.now_ms;
    world.edit(0, &target_key(&worker), EditKind::Target(worker.clone(), change), None);
    while world.now_ms < started_ms + LIMIT_MS {
        world.run_ms(STEP_MS);
        let all_updated = (0..world.nodes.len())
            .all(|index| world.engine(index).catalogue().revision() >= target_revision);
        if all_updated {
            break;
        }
    }
    let mut cost = SpreadCost {
        last_daemon_ms: world.now_ms - started_ms,
        messages: 0,
        cross_region_bytes: 0,
    };
    for (node, before) in world.nodes.iter().zip(&before) {
        let counts = node.counts.since(before);
        cost.messages += counts.peer_messages + counts.store_reads;
        cost.cross_region_bytes += counts.cross_region_sent_bytes;
    }
    cost
}

/// Computes the related paper's tree with its clean-up sweep over `daemons` daemons.
pub(crate) fn compute_tree(daemons: usize, change_bytes: u64) -> SpreadCost {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut received_ms: Vec<Option<u64>> = vec![None; daemons];
    received_ms[0] = Some(0);
    let layers = (daemons as f64).log(3.0).ceil() as u32;
    let mut cost = SpreadCost { last_daemon_ms: 0, messages: 0, cross_region_bytes: 0 };
    let far_permille = 750;
    let send = |rng: &mut Pcg64Mcg, cost: &mut SpreadCost, at_ms: u64| {
        cost.messages += 2;
        if rng.random_range(0..1_000) < far_permille {
            cost.cross_region_bytes += change_bytes;
        }
        let lost = rng.random_range(0..1_000) < LOSS_PERMILLE;
        let delay_ms = rng.random_range(1..=DELAY_MS);
        if lost { at_ms + TREE_ACK_MS + delay_ms } else { at_ms + delay_ms }
    };
    // In each layer, every daemon that has the change sends it to the daemons a third
    // and two thirds of the list away.
    for layer in (0..layers).rev() {
        let width = 3_usize.pow(layer).max(1);
        for from in 0..daemons {
            let Some(at_ms) = received_ms[from] else {
                continue;
            };
            for step in [width, width * 2] {
                let to = (from + step) % daemons;
                let arrival_ms = send(&mut rng, &mut cost, at_ms);
                received_ms[to] =
                    Some(received_ms[to].map_or(arrival_ms, |known| known.min(arrival_ms)));
            }
        }
    }
    // The clean-up sweep: every daemon exchanges the change with its two neighbours.
    for index in 0..daemons {
        let at_ms = received_ms[index].unwrap_or(LIMIT_MS);
        for to in [(index + 1) % daemons, (index + daemons - 1) % daemons] {
            let arrival_ms = send(&mut rng, &mut cost, at_ms);
            if received_ms[to].is_none_or(|known| known > arrival_ms) {
                received_ms[to] = Some(arrival_ms);
            }
        }
    }
    cost.last_daemon_ms =
        received_ms.iter().map(|at_ms| at_ms.unwrap_or(LIMIT_MS)).max().unwrap_or(0);
    cost
}
