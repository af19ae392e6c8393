//! Submissions that wait until the workers that serve their owner are known.
//!
//! Right after a start, after a change of the catalogue, and while leases move between daemons,
//! the catalogue has targets of an owner whose workers no daemon has reported yet. Whether a
//! task fits, or a minion can take a request, is not known then. If the submission were
//! refused, callers would be turned away from a daemon that is ready and can serve them
//! moments later.

use stoatwell_model::Class;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_model::OwnerName;
use stoatwell_model::UnixMs;

use crate::Engine;
use crate::submit::IncomingSubmission;
use crate::submit::RETRY_AFTER_MS;

impl Engine {
    /// Keeps a submission until the workers of its owner are known, or refuses it if it has
    /// waited for too long.
    pub(crate) fn defer(&mut self, incoming: IncomingSubmission) {
        if self.now_ms >= self.deferred_until_ms(&incoming) {
            let entry = &incoming.submission.entry;
            let failure = Failure::with_detail(Code::WorkersUnknown, entry);
            self.answer_job(incoming.ticket, Err(failure.retry_after(RETRY_AFTER_MS)));
            return;
        }
        self.deferred.push(incoming);
    }

    /// Handles the deferred submissions again that can be decided now.
    pub(crate) fn retry_deferred(&mut self) {
        for incoming in std::mem::take(&mut self.deferred) {
            if self.stopping || self.can_decide(&incoming) {
                self.on_submit(incoming);
            } else {
                self.deferred.push(incoming);
            }
        }
    }

    fn can_decide(&self, incoming: &IncomingSubmission) -> bool {
        if self.now_ms >= self.deferred_until_ms(incoming) {
            return true;
        }
        let Some(entry) = self.catalogue.work(&incoming.submission.entry) else {
            return true;
        };
        if entry.class == Class::Request {
            return !self.workers_of_zone_unknown(&entry.owner);
        }
        let demand = incoming.submission.demand.unwrap_or(entry.task);
        self.could_fit_anywhere(&entry.owner, &demand).is_some()
    }

    /// A submission is deferred no longer than one waits for its durable record. A request is
    /// deferred no longer than until its deadline, and a forwarded submission no longer than
    /// the daemon that forwarded it waits.
    fn deferred_until_ms(&self, incoming: &IncomingSubmission) -> UnixMs {
        let accept_timeout_ms = self.settings.ledger.accept_timeout_ms;
        let deadline_ms = incoming.submission.deadline_ms.unwrap_or(u64::MAX);
        let forwarder_ms = if incoming.may_forward {
            u64::MAX
        } else {
            self.settings.membership.peer_timeout_ms / 2 + incoming.wait_ms
        };
        incoming.received_ms + accept_timeout_ms.min(deadline_ms).min(forwarder_ms)
    }

    /// Whether targets of this zone serve the owner, and no daemon of the zone has reported
    /// their workers yet. Before the instance list was read, any target may be of this zone.
    pub(crate) fn workers_of_zone_unknown(&self, owner: &OwnerName) -> bool {
        let list_read = self.instance_list_read_ms > 0;
        let mut serving = self.catalogue.targets().filter(|target| target.serves(owner));
        if !serving.any(|target| !list_read || self.leases.get(&target.worker).is_some()) {
            return false;
        }
        let zone_members = self.members.live_in_zone(self.now_ms, &self.me.zone);
        let mut reported = zone_members.flat_map(|member| &member.summary.owners);
        self.workers_serving(owner) == 0 && !reported.any(|entry| entry.owner == *owner)
    }
}
