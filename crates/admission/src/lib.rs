//! Decides which jobs a full pool admits, and which customers wait for others.
//!
//! The caller samples the usage and the backlog of each service a few times a second; see
//! [`Sample`]. From the samples, [`Admission`] answers three questions:
//!
//! - Is an arriving job refused, because it is beyond its customer's weight and would end far
//!   too late? [`Admission::judge`]
//! - Does a queued step wait for work of customers within their weight?
//!   [`Admission::is_beyond_share`]
//! - Which steps have been passed over for so long that they go first?
//!   [`Admission::promote`]
//!
//! The crate does no I/O and reads no clock. Amounts of CPU are in thousandths of a core, and
//! amounts of work in core-milliseconds.

mod promotion;
mod service;
mod verdict;

use std::collections::BTreeMap;

pub use crate::service::CustomerId;
pub use crate::service::CustomerShare;
pub use crate::service::Sample;
pub use crate::service::Waiting;
pub use crate::verdict::Arrival;
pub use crate::verdict::Refusal;
pub use crate::verdict::Verdict;

use crate::service::Service;

/// The accounts of all services of one pool.
#[derive(Debug, Default)]
pub struct Admission {
    services: BTreeMap<String, Service>,
}

impl Admission {
    /// Records a sample of a service. `shares` has the weight and cap of each customer, by
    /// [`CustomerId`].
    pub fn record(&mut self, now_ms: u64, service: &str, sample: Sample, shares: &[CustomerShare]) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Service::new(now_ms));
        }
        let Some(account) = self.services.get_mut(service) else { return };
        account.record(now_ms, sample, shares);
    }

    /// Adds the work of a job that arrived since the latest sample to the backlog.
    pub fn add_arrival(&mut self, arrival: &Arrival<'_>) {
        if let Some(service) = self.services.get_mut(arrival.service) {
            service.add_waiting(arrival.customer, arrival.priority, arrival.waiting);
        }
    }

    /// Whether more work waits for the service's workers than they have room for.
    pub fn is_full(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(Service::is_full)
    }

    /// Whether the service is full and the customer's work of this priority and of more urgent
    /// ones uses more than the customer's share.
    pub fn is_beyond_share(&self, service: &str, customer: CustomerId, priority: u32) -> bool {
        let beyond = |service: &Service| service.is_full() && service.is_beyond(customer, priority);
        self.services.get(service).is_some_and(beyond)
    }

    /// The part, in percent, of what a customer's work of this priority uses that is within its
    /// share; 100 while the service is not full.
    pub fn part_within_share(&self, service: &str, customer: CustomerId, priority: u32) -> u64 {
        match self.services.get(service).filter(|service| service.is_full()) {
            Some(service) => service.part_within_share(customer, priority),
            None => 100,
        }
    }

    /// Whether a step that has waited for a long time may go before all others. If so, its
    /// work is charged to the part of the service's capacity that is set aside for such steps.
    pub fn promote(&mut self, service: &str, waited_ms: u64, work_core_ms: u64) -> bool {
        let Some(service) = self.services.get_mut(service) else { return false };
        service.is_full() && service.promotion.promote(waited_ms, work_core_ms)
    }

    /// Whether an arriving job is admitted.
    pub fn judge(&mut self, now_ms: u64, arrival: &Arrival<'_>) -> Verdict {
        match self.services.get_mut(arrival.service) {
            Some(service) => service.judge(now_ms, arrival),
            None => Verdict::Admit,
        }
    }
}
