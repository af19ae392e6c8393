//! Finds a worker with enough of every resource without looking at all workers.
//!
//! A segment tree over the workers stores, for each range, the maximum free amount
//! of each resource on any one worker. A range whose maximum is too small is
//! skipped as a whole, so a search takes about logarithmic time.

use stoatwell_model::Resources;

/// Segment tree over the free resources of workers, by position.
#[derive(Clone, Debug, Default)]
pub struct FitTree {
    leaves: usize,
    nodes: Vec<Resources>,
}

impl FitTree {
    /// Builds a tree in which position `i` has `free[i]`.
    pub fn new(free: &[Resources]) -> Self {
        let leaves = free.len().next_power_of_two().max(1);
        let mut nodes = vec![Resources::ZERO; leaves * 2];
        nodes[leaves..leaves + free.len()].copy_from_slice(free);
        for node in (1..leaves).rev() {
            nodes[node] = nodes[node * 2].max(&nodes[node * 2 + 1]);
        }
        Self { leaves, nodes }
    }

    /// Sets the free resources at one position.
    pub fn set(&mut self, position: usize, free: Resources) {
        let mut node = self.leaves + position;
        self.nodes[node] = free;
        while node > 1 {
            node /= 2;
            let largest = self.nodes[node * 2].max(&self.nodes[node * 2 + 1]);
            if self.nodes[node] == largest {
                return;
            }
            self.nodes[node] = largest;
        }
    }

    /// Free resources at one position.
    pub fn get(&self, position: usize) -> Resources {
        self.nodes[self.leaves + position]
    }

    /// Maximum of each resource over all positions; they may be at different positions.
    pub fn largest(&self) -> Resources {
        self.nodes.get(1).copied().unwrap_or_default()
    }

    /// The first position at or after `start` where `demand` fits.
    pub fn first_fit_from(&self, start: usize, demand: &Resources) -> Option<usize> {
        if self.leaves == 0 {
            return None;
        }
        self.find(1, 0, self.leaves, start, demand)
    }

    /// Positions where `demand` fits, from `start` to the end and then from 0. The search
    /// makes at most `lookups` lookups, one of which may go to the wrap-around.
    pub fn search_cyclic<'a>(
        &'a self,
        start: usize,
        demand: &'a Resources,
        lookups: usize,
    ) -> CyclicSearch<'a> {
        CyclicSearch { tree: self, demand, from: start, lookups, wrapped: false }
    }

    fn find(
        &self,
        node: usize,
        low: usize,
        width: usize,
        start: usize,
        demand: &Resources,
    ) -> Option<usize> {
        if low + width <= start || !self.nodes[node].holds(demand) {
            return None;
        }
        if width == 1 {
            return Some(low);
        }
        let half = width / 2;
        let left = self.find(node * 2, low, half, start, demand);
        left.or_else(|| self.find(node * 2 + 1, low + half, half, start, demand))
    }
}

/// Iterator of [`FitTree::search_cyclic`]. Wrapping around costs one lookup.
#[derive(Clone, Debug)]
pub struct CyclicSearch<'a> {
    tree: &'a FitTree,
    demand: &'a Resources,
    from: usize,
    lookups: usize,
    wrapped: bool,
}

impl Iterator for CyclicSearch<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        while self.lookups > 0 {
            self.lookups -= 1;
            if let Some(position) = self.tree.first_fit_from(self.from, self.demand) {
                self.from = position + 1;
                return Some(position);
            }
            if self.wrapped {
                self.lookups = 0;
            }
            self.wrapped = true;
            self.from = 0;
        }
        None
    }
}
