//! Heartbeats between daemons, calls from peers, and the instance list.
//!
//! Within a zone, every daemon sends heartbeats to every other one. One daemon of each
//! zone is the zone's relay. Only the relays call other zones: they exchange updates, each
//! with a short summary of one zone. A relay passes an update on to the daemons of its own
//! zone when it changed significantly or has not been sent for a while. This keeps the
//! traffic on the slow and paid links between zones small.

use std::collections::HashMap;

use stoatwell_catalogue::CatalogueUpdate;
use stoatwell_membership::rendezvous;
use stoatwell_model::DaemonId;
use stoatwell_model::OwnerName;
use stoatwell_model::Resources;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_model::peer::Heartbeat;
use stoatwell_model::peer::Summary;
use stoatwell_platform::CallError;
use stoatwell_platform::InstanceKind;
use stoatwell_platform::InstanceState;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;

use crate::Engine;
use crate::message::Answer;
use crate::message::Effect;
use crate::message::OpId;
use crate::message::PeerCall;
use crate::message::PeerReply;
use crate::message::Ticket;
use crate::message::ZoneUpdate;
use crate::ops::PeerOp;
use crate::ops::StoreOp;
use crate::stranded::largest_in;

/// Interval at which an unchanged summary or zone update is sent again.
pub(crate) const UPDATE_RESEND_MS: u64 = 10_000;
/// Approximate size of one entry of the instance list.
pub(crate) const INSTANCE_ENTRY_BYTES: u64 = 140;
/// Bandwidth limit for reading the instance list; a longer list is read less often.
pub(crate) const LIST_BYTES_PER_SECOND_MAX: u64 = 4_000;
/// A zone update expires this many times the `silent_after_ms` setting after the last sign
/// of life of its zone.
pub(crate) const UPDATE_EXPIRY_FACTOR: u64 = 4;
/// Relative change of a free amount above which a summary is sent again, in thousandths.
pub(crate) const SIGNIFICANT_CHANGE_PERMILLE: u64 = 125;

/// The summary and the zone update that this daemon last published. For each receiver,
/// the version that it was sent last is kept, so that unchanged ones aren't repeated.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    pub(crate) summary: Summary,
    /// Number of significant changes of `summary`.
    pub(crate) summary_version: u64,
    /// The version of `summary` that each peer was sent last, and when.
    pub(crate) summary_sent: HashMap<DaemonId, (u64, UnixMs)>,
    pub(crate) zone_update: Option<ZoneUpdate>,
    /// Number of significant changes of `zone_update`.
    pub(crate) zone_update_version: u64,
    /// The version of `zone_update` that each zone was sent last, and when.
    pub(crate) zone_update_sent: HashMap<ZoneName, (u64, UnixMs)>,
}

impl Announcements {
    /// The summary, unless this daemon was sent the current version recently.
    fn summary_for(&mut self, now_ms: UnixMs, daemon: &DaemonId) -> Option<Summary> {
        let (sent_version, sent_ms) = self.summary_sent.get(daemon).copied().unwrap_or_default();
        if sent_version == self.summary_version
            && sent_ms > 0
            && now_ms < sent_ms + UPDATE_RESEND_MS
        {
            return None;
        }
        self.summary_sent.insert(daemon.clone(), (self.summary_version, now_ms));
        Some(self.summary.clone())
    }
}

/// The state of another zone as last reported.
#[derive(Clone, Debug)]
pub(crate) struct ZoneState {
    pub(crate) update: ZoneUpdate,
    pub(crate) heard_ms: UnixMs,
    /// Number of significant changes of `update`.
    pub(crate) version: u64,
    /// The version that each daemon of this daemon's zone was sent last, and when.
    pub(crate) sent: HashMap<DaemonId, (u64, UnixMs)>,
}

impl Engine {
    pub(crate) fn send_heartbeats(&mut self) {
        let now_ms = self.now_ms;
        if now_ms >= self.next_heartbeat_ms {
            self.next_heartbeat_ms = now_ms + self.settings.membership.heartbeat_ms;
            self.send_zone_heartbeats();
        }
        if now_ms >= self.next_relay_ms {
            self.next_relay_ms = now_ms + self.settings.membership.relay_ms;
            if self.members.is_relay(now_ms) {
                self.send_relay_heartbeats();
            }
        }
    }

    fn send_zone_heartbeats(&mut self) {
        let mut same_zone = Vec::new();
        for member in self.members.all() {
            if member.identity.zone == self.me.zone {
                same_zone.push(member.identity.daemon.clone());
            }
        }
        let summary = self.summary();
        if is_significant_summary_change(&self.announcements.summary, &summary) {
            self.announcements.summary = summary;
            self.announcements.summary_version += 1;
        }
        let is_relay = self.members.is_relay(self.now_ms);
        for daemon in same_zone {
            let summary = self.announcements.summary_for(self.now_ms, &daemon);
            let beat = Heartbeat { summary, ..self.heartbeat() };
            let news = if is_relay { self.other_zone_updates_for(&daemon) } else { Vec::new() };
            self.call_peer(PeerOp::Heartbeat, &daemon, PeerCall::Heartbeat { beat, news });
        }
    }

    /// A heartbeat without a capacity summary.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            from: self.me.clone(),
            revision: self.catalogue.revision(),
            stopping: self.stopping,
            summary: None,
        }
    }

    pub(crate) fn summary(&mut self) -> Summary {
        Summary {
            workers: self.held.len() as u32,
            queued: self.scheduler.queue.tasks().min(u64::from(u32::MAX)) as u32,
            running: self.scheduler.cell.running_count() as u32,
            owners: self.scheduler.owner_summaries(),
            groups: self.minions.summary(self.now_ms),
        }
    }

    fn on_heartbeat(&mut self, beat: &Heartbeat, zone_updates: Vec<ZoneUpdate>) {
        self.members.on_heartbeat(self.now_ms, beat);
        let newest = zone_updates.iter().map(|update| update.revision).max().unwrap_or(0);
        if beat.revision > self.catalogue.revision() || newest > self.catalogue.revision() {
            self.fetch_catalogue_from(&beat.from.daemon);
        }
        self.on_zone_updates(zone_updates);
        // A heartbeat from another zone's relay shows that the zone is alive, even if the
        // heartbeat carries no zone update.
        if let Some(state) = self.zones.get_mut(&beat.from.zone) {
            state.heard_ms = self.now_ms;
        }
    }

    fn fetch_catalogue_from(&mut self, daemon: &DaemonId) {
        let fetching = self.ops.peer.values().any(|op| matches!(op, PeerOp::Catalogue));
        if !fetching {
            let revision = self.catalogue.revision();
            self.call_peer(PeerOp::Catalogue, daemon, PeerCall::CatalogueSince { revision });
        }
    }

    pub(crate) fn on_peer_call(&mut self, ticket: Ticket, call: PeerCall) {
        let reply = match call {
            PeerCall::Heartbeat { beat, news } => {
                let zone = beat.from.zone.clone();
                self.on_heartbeat(&beat, news);
                let beat = self.heartbeat();
                let is_other_zone = zone != self.me.zone;
                let news = if is_other_zone { self.own_zone_update_for(&zone) } else { Vec::new() };
                PeerReply::Heartbeat { beat, news }
            }
            PeerCall::CatalogueSince { revision } => {
                PeerReply::News(self.catalogue.updates_since(revision))
            }
            PeerCall::Changed { revision } => {
                if revision > self.catalogue.revision() {
                    self.catalogue_watcher.poll_now();
                    self.poll_catalogue();
                }
                PeerReply::Noted
            }
            PeerCall::Submit(submit) => return self.on_forwarded(ticket, submit),
            PeerCall::Status { job, wait_ms } => return self.on_peer_status(ticket, job, wait_ms),
            PeerCall::Cancel { job } => return self.on_peer_cancel(ticket, job),
            PeerCall::Reserve { meta, attempts } => self.on_reserve(&meta, &attempts),
            PeerCall::Unreserve { attempts } => self.on_unreserve(&attempts),
            PeerCall::Start { tasks } => self.on_remote_start(tasks),
            PeerCall::Stop { attempts, mode } => self.on_remote_stop(&attempts, mode),
            PeerCall::Inquire { coordinator, attempts } => self.on_inquiry(&coordinator, &attempts),
            PeerCall::Find { coordinator, jobs } => self.on_find(&coordinator, &jobs),
            PeerCall::Report { from, reports } => self.on_reports(&from, reports),
            PeerCall::Acknowledge { attempts } => self.on_acknowledge(&attempts),
            PeerCall::Adopt { jobs } => {
                self.sweep.queue_takeovers(jobs);
                self.sweep_tick();
                PeerReply::Noted
            }
        };
        self.effects.push(Effect::Answer { ticket, answer: Answer::Peer(reply) });
    }

    pub(crate) fn on_peer_done(&mut self, op: OpId, reply: Result<PeerReply, CallError>) {
        let Some(purpose) = self.ops.peer.remove(&op) else {
            return;
        };
        match (purpose, reply) {
            (PeerOp::Heartbeat, Ok(PeerReply::Heartbeat { beat, news })) => {
                self.on_heartbeat(&beat, news);
            }
            (PeerOp::Catalogue, Ok(PeerReply::News(update))) => self.on_catalogue_update(update),
            (PeerOp::ProxyReply(ticket), reply) => self.answer_with_peer_reply(ticket, reply),
            (PeerOp::Forward(incoming), reply) => self.on_forward_done(*incoming, reply),
            (PeerOp::Reserve { job, attempts, holder }, reply) => {
                self.on_reserve_reply(job, attempts, &holder, reply);
            }
            (PeerOp::Inquire, Ok(PeerReply::Tasks(replies))) => self.on_task_replies(replies),
            (PeerOp::Find(jobs), reply) => self.on_find_reply(&jobs, reply),
            (PeerOp::Report { to }, Ok(PeerReply::Acknowledged { attempts, unknown })) => {
                self.on_report_reply(&to, &attempts, &unknown);
            }
            (
                PeerOp::Heartbeat
                | PeerOp::Catalogue
                | PeerOp::Inquire
                | PeerOp::Report { .. }
                | PeerOp::Notification,
                _,
            ) => {}
        }
    }

    fn on_catalogue_update(&mut self, update: CatalogueUpdate) {
        if self.catalogue.merge(update) {
            self.announce_revision();
        }
    }

    pub(crate) fn read_instance_list(&mut self) {
        if self.instance_list_pending || self.now_ms < self.next_instance_list_ms {
            return;
        }
        self.instance_list_pending = true;
        self.next_instance_list_ms = self.now_ms + self.settings.platform.instances_interval_ms;
        // The list of all zones takes hundreds of kilobytes at the size that the pool is
        // built for. It is read only while jobs of this daemon have tasks in other zones,
        // because work was taken over from there.
        let reads_all_zones = self.has_tasks_in_other_zones();
        let zone = if reads_all_zones { None } else { Some(self.me.zone.clone()) };
        self.call_store(
            StoreOp::List { all_zones: reads_all_zones },
            StoreCall::Instances { zone },
        );
    }

    pub(crate) fn on_instance_list(
        &mut self,
        all_zones: bool,
        reply: Result<StoreReply, CallError>,
    ) {
        self.instance_list_pending = false;
        let Ok(StoreReply::Instances { instances }) = reply else {
            return;
        };
        self.instance_list_read_ms = self.now_ms;
        let mut daemons = Vec::new();
        let mut workers = Vec::new();
        let mut zones = HashMap::new();
        for instance in instances {
            match instance.kind {
                // Daemons are on the platform's list as instances of the kind `Entry`.
                InstanceKind::Entry if instance.state == InstanceState::Live => {
                    daemons.push(stoatwell_model::peer::Identity {
                        daemon: DaemonId::new(&instance.name),
                        zone: instance.zone,
                        region: instance.region,
                        peer_address: instance.address,
                        incarnation: 0,
                    });
                }
                InstanceKind::Worker => {
                    let worker = WorkerId::new(&instance.name);
                    if instance.zone == self.me.zone {
                        workers.push((worker.clone(), instance.address));
                    }
                    zones.insert(worker, instance.zone);
                }
                InstanceKind::Entry => {}
            }
        }
        self.members.update_instances(self.now_ms, &daemons);
        let list_bytes = (daemons.len() + zones.len()) as u64 * INSTANCE_ENTRY_BYTES;
        let min_interval_ms = list_bytes * 1_000 / LIST_BYTES_PER_SECOND_MAX;
        self.next_instance_list_ms = self.next_instance_list_ms.max(self.now_ms + min_interval_ms);
        if !all_zones {
            let others = std::mem::take(&mut self.worker_zones);
            zones.extend(others.into_iter().filter(|(_, zone)| *zone != self.me.zone));
        }
        self.worker_zones = zones;
        self.record_missing_workers(all_zones);
        self.leases.update_workers(workers);
    }

    /// The address at which peers reach a daemon; `None` if it isn't known.
    pub(crate) fn address_of(&self, daemon: &DaemonId) -> Option<String> {
        if let Some(member) = self.members.get(daemon) {
            return Some(member.identity.peer_address.clone());
        }
        for state in self.zones.values() {
            if let Some(found) = state.update.daemons.iter().find(|found| found.daemon == *daemon) {
                return Some(found.peer_address.clone());
            }
        }
        None
    }

    /// Other daemons of this zone that sent a heartbeat recently.
    pub(crate) fn zone_peers(&self) -> Vec<DaemonId> {
        let live = self.members.live_in_zone(self.now_ms, &self.me.zone);
        live.map(|member| member.identity.daemon.clone()).collect()
    }

    /// Other daemons of a zone that are alive, as far as this daemon knows.
    pub(crate) fn daemons_in(&self, zone: &ZoneName) -> Vec<DaemonId> {
        if *zone == self.me.zone {
            return self.zone_peers();
        }
        let reported = self.zones.get(zone).into_iter().flat_map(|state| &state.update.daemons);
        reported.map(|found| found.daemon.clone()).collect()
    }

    /// Whether a daemon was known to be alive and no longer is. `false` for a daemon that
    /// was never heard of, because it may just be new.
    pub(crate) fn is_silent(&self, daemon: &DaemonId) -> bool {
        let heard = self.members.get(daemon).is_some_and(|member| member.last_heartbeat_ms > 0);
        let reported = self
            .zones
            .values()
            .any(|state| state.update.daemons.iter().any(|found| found.daemon == *daemon));
        (heard || reported) && !self.is_live(daemon)
    }

    /// Whether a daemon is alive, as far as this daemon knows.
    pub(crate) fn is_live(&self, daemon: &DaemonId) -> bool {
        if self.members.is_live(self.now_ms, daemon) {
            return true;
        }
        let max_age_ms = self.settings.membership.silent_after_ms * UPDATE_EXPIRY_FACTOR;
        self.zones.values().any(|state| {
            let fresh = self.now_ms < state.heard_ms + max_age_ms;
            fresh && state.update.daemons.iter().any(|found| found.daemon == *daemon)
        })
    }

    /// Another daemon that has a worker with this much free capacity for the owner. Daemons
    /// of this zone are preferred, then those of this region.
    pub(crate) fn find_peer_with_capacity(
        &self,
        owner: &OwnerName,
        demand: &Resources,
    ) -> Option<DaemonId> {
        let has_capacity = |summary: &Summary| {
            summary
                .owners
                .iter()
                .any(|found| found.owner == *owner && found.largest_free.holds(demand))
        };
        let same_zone = self.members.live_in_zone(self.now_ms, &self.me.zone);
        let same_zone =
            same_zone.filter(|member| !member.stopping && has_capacity(&member.summary));
        // The least loaded candidate is chosen. The summaries are at most seconds old.
        let chosen = same_zone.min_by_key(|member| (member.summary.queued, member.summary.running));
        if let Some(member) = chosen {
            return Some(member.identity.daemon.clone());
        }
        self.find_in_other_zone(&has_capacity, false)
    }

    /// A daemon of a zone whose workers could hold a task of this demand when they are empty;
    /// `None` if those of this zone could. In this zone such a job would never start.
    pub(crate) fn find_peer_that_could_ever_fit(
        &self,
        owner: &OwnerName,
        demand: &Resources,
    ) -> Option<DaemonId> {
        let could_fit = |summary: &Summary| largest_in(summary, owner).holds(demand);
        let mut zone_members = self.members.live_in_zone(self.now_ms, &self.me.zone);
        if self.scheduler.cell.could_fit(owner, demand)
            || zone_members.any(|member| could_fit(&member.summary))
        {
            return None;
        }
        self.find_in_other_zone(&could_fit, false)
    }

    /// Another daemon that has a free slot on a minion of this group. Traffic between
    /// regions is paid. If the owner weighs control traffic higher than waiting time, only
    /// daemons of this region are considered.
    pub(crate) fn find_peer_with_minions(
        &self,
        group: &str,
        owner: &OwnerName,
    ) -> Option<DaemonId> {
        let free = |summary: &Summary| {
            let found = summary.groups.iter().find(|found| found.group == group);
            found.map_or(0, |found| found.free_slots)
        };
        let same_zone = self.members.live_in_zone(self.now_ms, &self.me.zone);
        let same_zone = same_zone.filter(|member| !member.stopping && free(&member.summary) > 0);
        if let Some(member) = same_zone.max_by_key(|member| free(&member.summary)) {
            return Some(member.identity.daemon.clone());
        }
        let weights = self.catalogue.owner(owner).map(|owner| owner.weights).unwrap_or_default();
        let same_region_only = weights.control > weights.waiting;
        self.find_in_other_zone(&|summary: &Summary| free(summary) > 0, same_region_only)
    }

    /// Whether a zone is in another region, or has no known daemon.
    fn is_in_other_region(&self, state: &ZoneState) -> bool {
        state.update.daemons.first().is_none_or(|daemon| daemon.region != self.me.region)
    }

    /// A daemon of another zone that has capacity. Zones of this region are preferred,
    /// then zones with few queued tasks.
    pub(crate) fn find_in_other_zone(
        &self,
        has_capacity: &dyn Fn(&Summary) -> bool,
        same_region_only: bool,
    ) -> Option<DaemonId> {
        let max_age_ms = self.settings.membership.silent_after_ms * UPDATE_EXPIRY_FACTOR;
        let mut zones: Vec<&ZoneState> = Vec::new();
        for state in self.zones.values() {
            let fresh = self.now_ms < state.heard_ms + max_age_ms;
            if fresh
                && has_capacity(&state.update.summary)
                && !(same_region_only && self.is_in_other_region(state))
            {
                zones.push(state);
            }
        }
        zones.sort_by_key(|state| {
            (self.is_in_other_region(state), state.update.summary.queued, state.update.zone.clone())
        });
        let state = zones.first()?;
        let daemons = state.update.daemons.iter().map(|found| &found.daemon);
        rendezvous::select(self.me.daemon.as_str(), daemons).cloned()
    }
}

/// Whether a summary differs from the one that was sent last by enough to be sent again.
pub(crate) fn is_significant_summary_change(old: &Summary, new: &Summary) -> bool {
    if old.owners.len() != new.owners.len() || old.groups.len() != new.groups.len() {
        return true;
    }
    let changed = |before: u64, after: u64| {
        before.abs_diff(after) * 1_000 > before.max(after) * SIGNIFICANT_CHANGE_PERMILLE
    };
    let mut owners = old.owners.iter().zip(&new.owners);
    let mut groups = old.groups.iter().zip(&new.groups);
    owners.any(|(before, after)| {
        let (free, now_free) = (&before.largest_free, &after.largest_free);
        before.owner != after.owner
            || before.largest != after.largest
            || changed(free.cpu_millis, now_free.cpu_millis)
            || changed(free.memory_bytes, now_free.memory_bytes)
            || changed(free.accelerators, now_free.accelerators)
    }) || groups.any(|(before, after)| {
        let availability_changed = (before.free_slots == 0) != (after.free_slots == 0);
        availability_changed || changed(u64::from(before.free_slots), u64::from(after.free_slots))
    })
}
