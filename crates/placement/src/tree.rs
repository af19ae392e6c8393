//! Finds a worker with enough of every resource without looking at all of them.
//!
//! A binary tree over the workers keeps, for each range, the most that is free
//! of each resource on any one of them. A range whose maximum is too small is
//! skipped whole, so a search costs about the logarithm of the workers.

use stoatwell_model::Resources;

/// Free resources of workers by position.
#[derive(Clone, Debug, Default)]
pub struct FitTree {
    leaves: usize,
    nodes: Vec<Resources>,
}

impl FitTree {
    /// A tree over these, by position.
    pub fn new(free: &[Resources]) -> Self {
        let leaves = free.len().next_power_of_two().max(1);
        let mut nodes = vec![Resources::ZERO; leaves * 2];
        nodes[leaves..leaves + free.len()].copy_from_slice(free);
        for node in (1..leaves).rev() {
            nodes[node] = nodes[node * 2].max(&nodes[node * 2 + 1]);
        }
        Self { leaves, nodes }
    }

    /// Changes what is free at one position.
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

    /// What is free at one position.
    pub fn get(&self, position: usize) -> Resources {
        self.nodes[self.leaves + position]
    }

    /// The most that is free of each resource, each perhaps on another worker.
    pub fn largest(&self) -> Resources {
        self.nodes.get(1).copied().unwrap_or_default()
    }

    /// The first position from `start` on that holds `need`.
    pub fn first_from(&self, start: usize, need: &Resources) -> Option<usize> {
        if self.leaves == 0 {
            return None;
        }
        self.find(1, 0, self.leaves, start, need)
    }

    /// Up to `looks` positions that hold `need`, from `start` on and once around.
    pub fn around<'a>(&'a self, start: usize, need: &'a Resources, looks: usize) -> Around<'a> {
        Around { tree: self, need, from: start, looks, wrapped: false }
    }

    fn find(
        &self,
        node: usize,
        low: usize,
        width: usize,
        start: usize,
        need: &Resources,
    ) -> Option<usize> {
        if low + width <= start || !self.nodes[node].holds(need) {
            return None;
        }
        if width == 1 {
            return Some(low);
        }
        let half = width / 2;
        let left = self.find(node * 2, low, half, start, need);
        left.or_else(|| self.find(node * 2 + 1, low + half, half, start, need))
    }
}

/// Positions that hold enough, starting anywhere; turning around costs a look.
#[derive(Clone, Debug)]
pub struct Around<'a> {
    tree: &'a FitTree,
    need: &'a Resources,
    from: usize,
    looks: usize,
    wrapped: bool,
}

impl Iterator for Around<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        while self.looks > 0 {
            self.looks -= 1;
            if let Some(position) = self.tree.first_from(self.from, self.need) {
                self.from = position + 1;
                return Some(position);
            }
            if self.wrapped {
                self.looks = 0;
            }
            self.wrapped = true;
            self.from = 0;
        }
        None
    }
}
