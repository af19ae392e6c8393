//! Runs a simulation for many seeds.

use super::World;

impl World {
    /// Simulates `count` seeds, and returns the sum of what the simulations return. Panics if one
    /// fails. `SEEDS` sets another count, `SEED` a single seed with its log.
    pub fn check_seeds(count: u64, simulate: impl Fn(u64) -> Result<u64, String>) -> u64 {
        let variable = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
        let single_seed: Option<u64> = variable("SEED");
        let count = variable("SEEDS").unwrap_or(count);
        let seeds = single_seed.map_or(0..count, |seed| seed..seed + 1);
        if single_seed.is_some() {
            // A single seed is for debugging: `SEED=7 cargo test --test seeds -- --nocapture`.
            // Another test of the same run may have set it already.
            let _ = tracing_subscriber::fmt().with_target(false).without_time().try_init();
        }
        let mut failures = Vec::new();
        let mut sum = 0;
        for seed in seeds {
            match simulate(seed) {
                Ok(result) => sum += result,
                Err(why) => failures.push(format!("SEED={seed}: {why}")),
            }
        }
        assert!(
            failures.is_empty(),
            "{} seeds failed, the first:\n{}",
            failures.len(),
            failures[0]
        );
        sum
    }
}
