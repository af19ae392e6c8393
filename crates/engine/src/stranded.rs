//! Waiting jobs for which this zone has no room any more.
//!
//! Targets change hands and workers fail for good while jobs wait. What is left of an owner's
//! targets in a zone may be too small for a job even when it is empty. Such a job is handed to
//! a daemon of another zone whose workers could hold it.

use stoatwell_model::Class;
use stoatwell_model::DaemonId;
use stoatwell_model::JobId;
use stoatwell_model::JobRecord;
use stoatwell_model::OwnerName;
use stoatwell_model::Resources;
use stoatwell_model::ZoneName;
use stoatwell_model::peer::Summary;

use crate::Engine;
use crate::jobs::Job;

/// How long a job has to lack room before it is moved: a target may come back, and the view of
/// other zones may be old.
const STRANDED_MS: u64 = 5_000;

impl Engine {
    /// Hands jobs that have lacked room in this zone for a while to other zones.
    pub(crate) fn move_stranded_jobs(&mut self) {
        let now_ms = self.now_ms;
        let mut stranded_since = std::mem::take(&mut self.stranded_since);
        let mut moves = Vec::new();
        stranded_since.retain(|id, _| self.jobs.contains_key(id));
        for (id, job) in &self.jobs {
            if !self.is_movable(*id, job) || self.has_room_in_zone(&job.machine.record) {
                stranded_since.remove(id);
                continue;
            }
            let since_ms = *stranded_since.entry(*id).or_insert(now_ms);
            if now_ms < since_ms + STRANDED_MS {
                continue;
            }
            if let Some((daemon, zone)) = self.find_zone_with_room(&job.machine.record) {
                moves.push((*id, daemon, zone));
            }
        }
        for (id, daemon, zone) in moves {
            stranded_since.remove(&id);
            self.scheduler.withdraw(id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.handing_over = true;
                job.machine.reassign(&daemon, &zone);
                job.machine
                    .note(format!("moved to zone {zone}, since this one has no room for it"));
            }
            self.write_job(id);
        }
        self.stranded_since = stranded_since;
    }

    /// Whether no task of the job has started or is about to start.
    fn is_movable(&self, id: JobId, job: &Job) -> bool {
        let record = &job.machine.record;
        record.class != Class::Request
            && job.accepted
            && !job.handing_over
            && !job.machine.is_writing()
            && job.discovery_due_ms.is_none()
            && record.outcome.is_none()
            && job.machine.waiting().len() as u32 == record.tasks
            && !self.remote.is_collecting(id)
    }

    fn has_room_in_zone(&self, record: &JobRecord) -> bool {
        if self.workers_of_zone_unknown(&record.owner) {
            return true;
        }
        let serving = self.catalogue.targets().filter(|target| target.serves(&record.owner));
        let listed = serving
            .filter(|target| self.leases.get(&target.worker).is_some_and(|lease| lease.listed));
        let mut largest = self.scheduler.cell.largest(&record.owner);
        for member in self.members.live_in_zone(self.now_ms, &self.me.zone) {
            largest = largest.max(&largest_in(&member.summary, &record.owner));
        }
        largest.fit_count(&record.demand) * listed.count() as u64 >= simultaneous_tasks(record)
    }

    fn find_zone_with_room(&self, record: &JobRecord) -> Option<(DaemonId, ZoneName)> {
        let has_room = |summary: &Summary| {
            let largest = largest_in(summary, &record.owner);
            let places = largest.fit_count(&record.demand) * u64::from(summary.workers);
            places >= simultaneous_tasks(record)
        };
        let daemon = self.find_in_other_zone(&has_room, false)?;
        let mut zones = self.zones.values();
        let zone = zones
            .find(|state| state.update.daemons.iter().any(|identity| identity.daemon == daemon))?;
        Some((daemon, zone.update.zone.clone()))
    }
}

/// How many tasks of a job have to run at the same time.
fn simultaneous_tasks(record: &JobRecord) -> u64 {
    if record.class == Class::Gang { u64::from(record.tasks) } else { 1 }
}

/// The largest amount on any worker that serves the owner, separately for each resource.
fn largest_in(summary: &Summary, owner: &OwnerName) -> Resources {
    let found = summary.owners.iter().find(|entry| entry.owner == *owner);
    found.map_or(Resources::ZERO, |entry| entry.largest)
}
