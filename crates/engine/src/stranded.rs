//! Waiting jobs for which this zone has no room any more.
//!
//! Targets change hands and workers fail for good while jobs wait. What is left of an owner's
//! targets in a zone may be too small for a job even when it is empty. Such a job is handed to
//! a daemon of another zone whose workers could hold it.

use std::collections::HashMap;

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

/// What the workers of this zone that serve an owner could hold when they are empty.
#[derive(Clone, Copy, Debug)]
struct ZoneRoom {
    workers: u64,
    /// The largest amount on any of them, separately for each resource.
    largest: Resources,
}

impl ZoneRoom {
    fn fits(&self, record: &JobRecord) -> bool {
        let places = self.largest.fit_count(&record.demand).saturating_mul(self.workers);
        places >= simultaneous_tasks(record)
    }
}

impl Engine {
    /// Hands jobs that have lacked room in this zone for a while to other zones.
    pub(crate) fn move_stranded_jobs(&mut self) {
        let now_ms = self.now_ms;
        let mut stranded_since = std::mem::take(&mut self.stranded_since);
        stranded_since.retain(|id, _| self.jobs.contains_key(id));
        let mut rooms: HashMap<&OwnerName, Option<ZoneRoom>> = HashMap::new();
        let mut moves = Vec::new();
        for (id, job) in &self.jobs {
            let record = &job.machine.record;
            let room =
                *rooms.entry(&record.owner).or_insert_with(|| self.room_in_zone(&record.owner));
            let has_room = room.is_none_or(|room| room.fits(record));
            if has_room || !self.is_movable(*id, job) {
                stranded_since.remove(id);
                continue;
            }
            let since_ms = *stranded_since.entry(*id).or_insert(now_ms);
            if now_ms < since_ms + STRANDED_MS {
                continue;
            }
            if let Some((daemon, zone)) = self.find_zone_with_room(record) {
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

    /// `None` if the owner's workers in this zone are not known yet.
    fn room_in_zone(&self, owner: &OwnerName) -> Option<ZoneRoom> {
        if self.workers_of_zone_unknown(owner) {
            return None;
        }
        let serving = self.catalogue.targets().filter(|target| target.serves(owner));
        let listed = serving
            .filter(|target| self.leases.get(&target.worker).is_some_and(|lease| lease.listed));
        let mut largest = self.scheduler.cell.largest(owner);
        for member in self.members.live_in_zone(self.now_ms, &self.me.zone) {
            largest = largest.max(&largest_in(&member.summary, owner));
        }
        Some(ZoneRoom { workers: listed.count() as u64, largest })
    }

    fn find_zone_with_room(&self, record: &JobRecord) -> Option<(DaemonId, ZoneName)> {
        let has_room = |summary: &Summary| {
            let workers = u64::from(summary.workers);
            ZoneRoom { workers, largest: largest_in(summary, &record.owner) }.fits(record)
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
pub(crate) fn largest_in(summary: &Summary, owner: &OwnerName) -> Resources {
    let found = summary.owners.iter().find(|entry| entry.owner == *owner);
    found.map_or(Resources::ZERO, |entry| entry.largest)
}
