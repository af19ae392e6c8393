//! How long a change of the catalogue takes to the last daemon, and what it
//! costs, by each way of spreading it.
//!
//! "polling" and "polling with hints" are the engines themselves, the first
//! with its hints cut. The related paper's tree is computed from its rule (a
//! third and two thirds of the list at each layer, then a sweep of neighbours)
//! with the same loss and delays.

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
/// A layer of the tree waits this long for an acknowledgement before it resends.
const TREE_ACK_MS: u64 = 100;
/// One way between daemons, at the longest, as in the other ways.
const DELAY_MS: u64 = 8;

/// What one change cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spread {
    /// Until the last daemon had it; none within the limit counts as the limit.
    pub(crate) last_ms: u64,
    pub(crate) messages: u64,
    pub(crate) far_bytes: u64,
}

/// Makes one change in a cell of the engines themselves.
pub(crate) fn engines(daemons_per_zone: usize, hints: bool, cut_zone: bool) -> Spread {
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
    let goal = world.engine(0).catalogue().revision() + 1;
    let started_ms = world.now_ms;
    world.edit(0, &target_key(&worker), EditKind::Target(worker.clone(), change), None);
    while world.now_ms < started_ms + LIMIT_MS {
        world.run_ms(STEP_MS);
        let all =
            (0..world.nodes.len()).all(|index| world.engine(index).catalogue().revision() >= goal);
        if all {
            break;
        }
    }
    let mut spread = Spread { last_ms: world.now_ms - started_ms, messages: 0, far_bytes: 0 };
    for (node, before) in world.nodes.iter().zip(&before) {
        let counts = node.counts.since(before);
        spread.messages += counts.peer_messages + counts.store_reads;
        spread.far_bytes += counts.cross_region_sent_bytes;
    }
    spread
}

/// The related paper's tree with its clean-up, over the same number of daemons.
pub(crate) fn tree(daemons: usize, change_bytes: u64) -> Spread {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut heard: Vec<Option<u64>> = vec![None; daemons];
    heard[0] = Some(0);
    let layers = (daemons as f64).log(3.0).ceil() as u32;
    let mut spread = Spread { last_ms: 0, messages: 0, far_bytes: 0 };
    let far_permille = 750;
    let send = |rng: &mut Pcg64Mcg, spread: &mut Spread, at_ms: u64| {
        spread.messages += 2;
        if rng.random_range(0..1_000) < far_permille {
            spread.far_bytes += change_bytes;
        }
        let lost = rng.random_range(0..1_000) < LOSS_PERMILLE;
        let delay_ms = rng.random_range(1..=DELAY_MS);
        if lost { at_ms + TREE_ACK_MS + delay_ms } else { at_ms + delay_ms }
    };
    // Each layer every daemon that has it sends to a third and two thirds of the list.
    for layer in (0..layers).rev() {
        let width = 3_usize.pow(layer).max(1);
        for from in 0..daemons {
            let Some(at_ms) = heard[from] else {
                continue;
            };
            for step in [width, width * 2] {
                let to = (from + step) % daemons;
                let arrives_ms = send(&mut rng, &mut spread, at_ms);
                heard[to] = Some(heard[to].map_or(arrives_ms, |known| known.min(arrives_ms)));
            }
        }
    }
    // The sweep: everybody asks its neighbours whether they have it.
    for index in 0..daemons {
        let at_ms = heard[index].unwrap_or(LIMIT_MS);
        for to in [(index + 1) % daemons, (index + daemons - 1) % daemons] {
            let arrives_ms = send(&mut rng, &mut spread, at_ms);
            if heard[to].is_none_or(|known| known > arrives_ms) {
                heard[to] = Some(arrives_ms);
            }
        }
    }
    spread.last_ms = heard.iter().map(|at_ms| at_ms.unwrap_or(LIMIT_MS)).max().unwrap_or(0);
    spread
}
