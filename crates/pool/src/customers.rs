//! What each customer may take, and what it has.
//!
//! A customer's cap binds what its tasks take on all workers together. Room that a task
//! holds counts from the moment it is chosen until the run is known to be gone: a start
//! in doubt, one that a former scheduler sent, and one that is being stopped all count. So
//! a cap may be used less than fully after a loss, and is never passed.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_customers::Customer;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;

use crate::Pool;
use crate::choose::Cycle;
use crate::id::StepId;

/// Jobs that may come at once, in seconds of a customer's weight.
const BURST_S: f64 = 2.0;

/// What a customer may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerLimits {
    /// Its name.
    pub name: CustomerName,
    /// Its share of a full pool, and the jobs a second that it may expect to be served.
    pub weight: f64,
    /// What its tasks may take on all workers together; 0 of a resource is no limit.
    pub cap: Resources,
}

impl CustomerLimits {
    /// The limits of a customer of the manifest.
    pub fn of(customer: &Customer) -> Self {
        Self { name: customer.name.clone(), weight: customer.weight, cap: customer.cap }
    }
}

/// A customer's number in one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CustomerId(pub usize);

/// The customers that jobs or the manifest have named.
#[derive(Debug, Default)]
pub(crate) struct Customers {
    all: Vec<Account>,
    numbers: HashMap<CustomerName, CustomerId>,
}

/// One customer.
#[derive(Debug)]
pub(crate) struct Account {
    pub limits: CustomerLimits,
    /// Jobs that may come now within the weight, and when that was worked out.
    allowance: f64,
    counted_unix_ms: u64,
}

impl Account {
    fn new(limits: CustomerLimits) -> Self {
        let allowance = limits.weight * BURST_S;
        Self { limits, allowance, counted_unix_ms: 0 }
    }
}

impl Customers {
    /// Takes the limits of the manifest. A customer that it no longer names keeps its
    /// last ones: what was accepted of its jobs still runs.
    pub fn update(&mut self, limits: Vec<CustomerLimits>) {
        for limits in limits {
            let id = self.id_of(&limits);
            self.all[id.0].limits = limits;
        }
    }

    /// The number of a customer; an unknown one gets its limits from its job.
    pub fn id_of(&mut self, limits: &CustomerLimits) -> CustomerId {
        if let Some(id) = self.numbers.get(&limits.name) {
            return *id;
        }
        let id = CustomerId(self.all.len());
        self.all.push(Account::new(limits.clone()));
        self.numbers.insert(limits.name.clone(), id);
        id
    }

    /// Counts a job that was accepted at a moment; tells whether it is within the
    /// customer's weight. A weight of 0 allows nothing within.
    pub fn note_arrival(&mut self, id: CustomerId, at_unix_ms: u64) -> bool {
        let account = &mut self.all[id.0];
        let weight = account.limits.weight;
        let passed_ms = at_unix_ms.saturating_sub(account.counted_unix_ms);
        let earned = weight * passed_ms as f64 / 1_000.0;
        account.allowance = (account.allowance + earned).min(weight * BURST_S);
        account.counted_unix_ms = account.counted_unix_ms.max(at_unix_ms);
        if account.allowance < 1.0 {
            return false;
        }
        account.allowance -= 1.0;
        true
    }

    /// A customer.
    pub fn get(&self, id: CustomerId) -> &Account {
        &self.all[id.0]
    }

    /// The limits of all, by their numbers.
    pub fn limits(&self) -> impl Iterator<Item = &CustomerLimits> {
        self.all.iter().map(|account| &account.limits)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }
}

impl Pool {
    /// How many more tasks of this demand a customer may have beside what it has.
    pub(crate) fn cap_places(
        &self,
        customer: Option<CustomerId>,
        used: &[Resources],
        demand: &Resources,
    ) -> u64 {
        let Some(id) = customer else { return u64::MAX };
        let used = used.get(id.0).copied().unwrap_or_default();
        left(&self.customers.get(id).limits.cap, &used).fit_count(demand)
    }

    /// Whether a gang waits for its customer's cap.
    pub(crate) fn awaits_cap(&self, step: StepId, unit: usize) -> bool {
        self.jobs.get(&step.job).is_some_and(|job| job.units[unit].awaits_cap)
    }

    /// Takes note of whether a gang waits for its customer's cap.
    pub(crate) fn note_cap(&mut self, step: StepId, unit: usize, awaits_cap: bool) {
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.units[unit].awaits_cap = awaits_cap;
        }
    }

    /// Keeps what a waiting gang needs of its customer's cap from the customer's work that
    /// comes after it, which would otherwise take each bit of the cap as it comes free.
    pub(crate) fn reserve_cap(&self, step: StepId, unit: usize, cycle: &mut Cycle) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(customer) = job.customer else { return };
        let need = job.step(unit).demand.times(job.units[unit].tasks.len() as u64);
        let used = &mut cycle.customers[customer.0];
        // A gang wider than the cap would keep all of it for ever.
        if left(&self.customers.get(customer).limits.cap, &Resources::ZERO).holds(&need) {
            *used = used.plus(&need);
        }
    }

    /// What each customer has on all workers, by its number.
    pub(crate) fn customers_use(&self) -> Vec<Resources> {
        let mut used = vec![Resources::ZERO; self.customers.len()];
        for worker in self.workers.values() {
            for (id, taken) in &worker.by_customer {
                used[id.0] = used[id.0].plus(taken);
            }
        }
        used
    }
}

/// What is left of a cap; a resource without one has no end.
fn left(cap: &Resources, used: &Resources) -> Resources {
    let left = |cap: u64, used: u64| if cap == 0 { u64::MAX } else { cap.saturating_sub(used) };
    Resources {
        cpu_millis: left(cap.cpu_millis, used.cpu_millis),
        memory_bytes: left(cap.memory_bytes, used.memory_bytes),
        accelerators: left(cap.accelerators, used.accelerators),
    }
}
