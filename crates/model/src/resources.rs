//! Amounts of processors, memory and accelerators.

use serde::Deserialize;
use serde::Serialize;

/// What a worker holds, or what a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_millis: u64,
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

/// A resource by name, for reasons shown to people.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKind {
    /// processors
    Cpu,
    /// memory
    Memory,
    /// accelerators
    Accelerators,
}

impl Resources {
    /// Nothing at all.
    pub const ZERO: Self = Self { cpu_millis: 0, memory_bytes: 0, accelerators: 0 };

    /// Whether `self` is enough for `need`.
    pub fn holds(&self, need: &Self) -> bool {
        self.first_shortage(need).is_none()
    }

    /// The first resource of which `self` has too little for `need`.
    pub fn first_shortage(&self, need: &Self) -> Option<ResourceKind> {
        if need.accelerators > self.accelerators {
            return Some(ResourceKind::Accelerators);
        }
        if need.memory_bytes > self.memory_bytes {
            return Some(ResourceKind::Memory);
        }
        (need.cpu_millis > self.cpu_millis).then_some(ResourceKind::Cpu)
    }

    /// The sum, stopping at the largest number.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference, stopping at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Each resource `count` times.
    pub fn times(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_bytes: self.memory_bytes.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// How many times it holds `need`.
    pub fn fit_count(&self, need: &Self) -> u64 {
        let times = |all: u64, one: u64| all.checked_div(one).unwrap_or(u64::MAX);
        times(self.cpu_millis, need.cpu_millis)
            .min(times(self.memory_bytes, need.memory_bytes))
            .min(times(self.accelerators, need.accelerators))
    }

    /// The larger of the two, resource by resource.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The part `numerator / denominator` of each resource, rounded down.
    pub fn share(&self, numerator: u64, denominator: u64) -> Self {
        let part = |amount: u64| {
            let scaled =
                u128::from(amount) * u128::from(numerator) / u128::from(denominator.max(1));
            u64::try_from(scaled).unwrap_or(u64::MAX)
        };
        Self {
            cpu_millis: part(self.cpu_millis),
            memory_bytes: part(self.memory_bytes),
            accelerators: part(self.accelerators),
        }
    }

    /// The used part of the scarcest resource of `capacity`, from 0 to 1.
    pub fn dominant_share(&self, capacity: &Self) -> f64 {
        let part = |used: u64, all: u64| {
            if all == 0 { 0.0 } else { used as f64 / all as f64 }
        };
        part(self.cpu_millis, capacity.cpu_millis)
            .max(part(self.memory_bytes, capacity.memory_bytes))
            .max(part(self.accelerators, capacity.accelerators))
    }

    /// Whether there is nothing of any resource.
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }
}
