//! Amounts of CPU, memory and accelerators.

use serde::Deserialize;
use serde::Serialize;

/// Amounts of all resources, such as a worker's capacity or a task's demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Number of whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

/// Name of a resource in explanations for people.
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
    /// No amount of any resource.
    pub const ZERO: Self = Self { cpu_millis: 0, memory_bytes: 0, accelerators: 0 };

    /// Whether no resource of `self` is less than in `need`.
    pub fn holds(&self, need: &Self) -> bool {
        self.first_shortage(need).is_none()
    }

    /// First resource of which `self` has less than `need`, in the order accelerators,
    /// memory, CPU.
    pub fn first_shortage(&self, need: &Self) -> Option<ResourceKind> {
        if need.accelerators > self.accelerators {
            return Some(ResourceKind::Accelerators);
        }
        if need.memory_bytes > self.memory_bytes {
            return Some(ResourceKind::Memory);
        }
        (need.cpu_millis > self.cpu_millis).then_some(ResourceKind::Cpu)
    }

    /// Sum of each resource, saturating at `u64::MAX`.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference of each resource, saturating at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Product of each resource and `count`, saturating at `u64::MAX`.
    pub fn times(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_bytes: self.memory_bytes.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// How many times `need` fits into `self`; `u64::MAX` if `need` is zero.
    pub fn fit_count(&self, need: &Self) -> u64 {
        let quotient =
            |available: u64, needed: u64| available.checked_div(needed).unwrap_or(u64::MAX);
        quotient(self.cpu_millis, need.cpu_millis)
            .min(quotient(self.memory_bytes, need.memory_bytes))
            .min(quotient(self.accelerators, need.accelerators))
    }

    /// Maximum of the two, separately for each resource.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Fraction `numerator / denominator` of each resource, rounded down.
    ///
    /// A denominator of 0 counts as 1.
    pub fn share(&self, numerator: u64, denominator: u64) -> Self {
        let scale = |amount: u64| {
            let scaled =
                u128::from(amount) * u128::from(numerator) / u128::from(denominator.max(1));
            u64::try_from(scaled).unwrap_or(u64::MAX)
        };
        Self {
            cpu_millis: scale(self.cpu_millis),
            memory_bytes: scale(self.memory_bytes),
            accelerators: scale(self.accelerators),
        }
    }

    /// Largest fraction of any resource of `capacity` that `self` uses, normally from 0
    /// to 1; a resource without capacity counts as 0.
    pub fn dominant_share(&self, capacity: &Self) -> f64 {
        let fraction = |used: u64, total: u64| {
            if total == 0 { 0.0 } else { used as f64 / total as f64 }
        };
        fraction(self.cpu_millis, capacity.cpu_millis)
            .max(fraction(self.memory_bytes, capacity.memory_bytes))
            .max(fraction(self.accelerators, capacity.accelerators))
    }

    /// Whether the amount of every resource is zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }
}
