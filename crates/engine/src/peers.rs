//! Signs of life, news of other zones, and questions of other daemons.
//!
//! Inside a zone everybody hears everybody. One relay a zone exchanges a short
//! summary with the relays of the other zones and passes on to its own zone
//! only what changed, so that little crosses the slow and paid links.

use std::collections::HashMap;

use stoatwell_catalogue::News;
use stoatwell_membership::assign;
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

/// Unchanged news are passed on this often.
pub(crate) const NEWS_REPEAT_MS: u64 = 10_000;
/// About what one line of the instance list takes.
pub(crate) const INSTANCE_BYTES: u64 = 140;
/// Reading the instance list costs no more than this; a longer list is read less often.
pub(crate) const LIST_BYTES_PER_SECOND: u64 = 4_000;
/// News older than this many silences count as no news.
pub(crate) const NEWS_OLD_FACTOR: u64 = 4;
/// A change of free room below this part is not news, in thousandths.
pub(crate) const NEWS_CHANGE_PERMILLE: u64 = 125;

/// What was told to whom, so that only what changed is told again.
#[derive(Debug, Default)]
pub(crate) struct Telling {
    pub(crate) summary: Summary,
    pub(crate) changes: u64,
    pub(crate) peers: HashMap<DaemonId, (u64, UnixMs)>,
    pub(crate) zone_news: Option<ZoneUpdate>,
    pub(crate) zone_changes: u64,
    pub(crate) zones: HashMap<ZoneName, (u64, UnixMs)>,
}

impl Telling {
    /// The summary, if this daemon has not been told it or only long ago.
    fn summary_for(&mut self, now_ms: UnixMs, daemon: &DaemonId) -> Option<Summary> {
        let (told, told_ms) = self.peers.get(daemon).copied().unwrap_or_default();
        if told == self.changes && told_ms > 0 && now_ms < told_ms + NEWS_REPEAT_MS {
            return None;
        }
        self.peers.insert(daemon.clone(), (self.changes, now_ms));
        Some(self.summary.clone())
    }
}

/// What is known of another zone.
#[derive(Clone, Debug)]
pub(crate) struct ZoneState {
    pub(crate) news: ZoneUpdate,
    pub(crate) heard_ms: UnixMs,
    pub(crate) changes: u64,
    pub(crate) told: HashMap<DaemonId, (u64, UnixMs)>,
}

impl Engine {
    pub(crate) fn beat(&mut self) {
        let now_ms = self.now_ms;
        if now_ms >= self.next_heartbeat_ms {
            self.next_heartbeat_ms = now_ms + self.settings.membership.heartbeat_ms;
            self.beat_zone();
        }
        if now_ms >= self.next_relay_ms {
            self.next_relay_ms = now_ms + self.settings.membership.relay_ms;
            if self.members.is_relay(now_ms) {
                self.beat_relays();
            }
        }
    }

    fn beat_zone(&mut self) {
        let mut near = Vec::new();
        for member in self.members.all() {
            if member.identity.zone == self.me.zone {
                near.push(member.identity.daemon.clone());
            }
        }
        let summary = self.summary();
        if is_summary_news(&self.telling.summary, &summary) {
            self.telling.summary = summary;
            self.telling.changes += 1;
        }
        let relay = self.members.is_relay(self.now_ms);
        for daemon in near {
            let summary = self.telling.summary_for(self.now_ms, &daemon);
            let beat = Heartbeat { summary, ..self.heartbeat() };
            let news = if relay { self.news_for(&daemon) } else { Vec::new() };
            self.call_peer(PeerOp::Heartbeat, &daemon, PeerCall::Heartbeat { beat, news });
        }
    }

    /// A sign of life that says nothing of room.
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

    fn on_heartbeat(&mut self, beat: &Heartbeat, news: Vec<ZoneUpdate>) {
        self.members.on_heartbeat(self.now_ms, beat);
        let newest = news.iter().map(|item| item.revision).max().unwrap_or(0);
        if beat.revision > self.catalogue.revision() || newest > self.catalogue.revision() {
            self.fetch_catalogue_from(&beat.from.daemon);
        }
        self.on_news(news);
        // A far relay that has no news still speaks for its zone.
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
                let far = zone != self.me.zone;
                let news = if far { self.own_news_for(&zone) } else { Vec::new() };
                PeerReply::Heartbeat { beat, news }
            }
            PeerCall::CatalogueSince { revision } => {
                PeerReply::News(self.catalogue.since(revision))
            }
            PeerCall::Changed { revision } => {
                if revision > self.catalogue.revision() {
                    self.catalogue_watcher.hurry();
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
                self.sweep.claim(jobs);
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
            (PeerOp::Catalogue, Ok(PeerReply::News(news))) => self.on_catalogue_news(news),
            (PeerOp::ProxyReply(ticket), reply) => self.pass_on(ticket, reply),
            (PeerOp::Forward { ticket, caller, key, submission, wait_ms }, reply) => {
                self.on_forward_done(ticket, &caller, key, submission, wait_ms, reply);
            }
            (PeerOp::Reserve { job, attempts, holder }, reply) => {
                self.on_reserved(job, attempts, &holder, reply);
            }
            (PeerOp::Inquire, Ok(PeerReply::Tasks(replies))) => self.on_task_replies(replies),
            (PeerOp::Find(jobs), reply) => self.on_found(&jobs, reply),
            (PeerOp::Report { to }, Ok(PeerReply::Acknowledged { attempts, unknown })) => {
                self.on_report_done(&to, &attempts, &unknown);
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

    fn on_catalogue_news(&mut self, news: News) {
        if self.catalogue.take(news) {
            self.announce_revision();
        }
    }

    pub(crate) fn read_list(&mut self) {
        if self.instance_list_pending || self.now_ms < self.next_instance_list_ms {
            return;
        }
        self.instance_list_pending = true;
        self.next_instance_list_ms = self.now_ms + self.settings.platform.instances_interval_ms;
        // Only this zone's workers, unless work was taken over from another zone:
        // the whole list at the target is hundreds of kilobytes.
        let abroad = self.works_abroad();
        let zone = if abroad { None } else { Some(self.me.zone.clone()) };
        self.call_store(StoreOp::List { all_zones: abroad }, StoreCall::Instances { zone });
    }

    pub(crate) fn on_list(&mut self, whole: bool, reply: Result<StoreReply, CallError>) {
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
        self.members.on_list(self.now_ms, &daemons);
        let list_bytes = (daemons.len() + zones.len()) as u64 * INSTANCE_BYTES;
        let paced_ms = list_bytes * 1_000 / LIST_BYTES_PER_SECOND;
        self.next_instance_list_ms = self.next_instance_list_ms.max(self.now_ms + paced_ms);
        if !whole {
            let others = std::mem::take(&mut self.worker_zones);
            zones.extend(others.into_iter().filter(|(_, zone)| *zone != self.me.zone));
        }
        self.worker_zones = zones;
        self.note_gone(whole);
        self.leases.on_list(workers);
    }

    /// Where a daemon's peers reach it.
    pub(crate) fn address_of(&self, daemon: &DaemonId) -> Option<String> {
        if let Some(member) = self.members.get(daemon) {
            return Some(member.identity.peer_address.clone());
        }
        for state in self.zones.values() {
            if let Some(found) = state.news.daemons.iter().find(|found| found.daemon == *daemon) {
                return Some(found.peer_address.clone());
            }
        }
        None
    }

    /// Other daemons of this zone that were heard of late.
    pub(crate) fn zone_peers(&self) -> Vec<DaemonId> {
        let live = self.members.live_in(self.now_ms, &self.me.zone);
        live.map(|member| member.identity.daemon.clone()).collect()
    }

    /// Other daemons of a zone that are alive, as far as can be told from here.
    pub(crate) fn daemons_of(&self, zone: &ZoneName) -> Vec<DaemonId> {
        if *zone == self.me.zone {
            return self.zone_peers();
        }
        let told = self.zones.get(zone).into_iter().flat_map(|state| &state.news.daemons);
        told.map(|found| found.daemon.clone()).collect()
    }

    /// Whether a daemon was heard once and is not heard any more. One that was
    /// never heard may only be new here.
    pub(crate) fn is_silent(&self, daemon: &DaemonId) -> bool {
        let heard = self.members.get(daemon).is_some_and(|member| member.heard_ms > 0);
        let told = self
            .zones
            .values()
            .any(|state| state.news.daemons.iter().any(|found| found.daemon == *daemon));
        (heard || told) && !self.is_live(daemon)
    }

    /// Whether a daemon is alive, as far as can be told from here.
    pub(crate) fn is_live(&self, daemon: &DaemonId) -> bool {
        if self.members.is_live(self.now_ms, daemon) {
            return true;
        }
        let fresh_ms = self.settings.membership.silent_after_ms * NEWS_OLD_FACTOR;
        self.zones.values().any(|state| {
            let fresh = self.now_ms < state.heard_ms + fresh_ms;
            fresh && state.news.daemons.iter().any(|found| found.daemon == *daemon)
        })
    }

    /// A daemon elsewhere that has this much free for an owner, nearest first.
    pub(crate) fn find_room(&self, owner: &OwnerName, need: &Resources) -> Option<DaemonId> {
        let offers = |summary: &Summary| {
            summary
                .owners
                .iter()
                .any(|found| found.owner == *owner && found.largest_free.holds(need))
        };
        let near = self.members.live_in(self.now_ms, &self.me.zone);
        let near = near.filter(|member| !member.stopping && offers(&member.summary));
        // The least loaded of those that can; a summary is seconds old at most.
        let chosen = near.min_by_key(|member| (member.summary.queued, member.summary.running));
        if let Some(member) = chosen {
            return Some(member.identity.daemon.clone());
        }
        self.find_far(&offers, false)
    }

    /// A daemon elsewhere whose minions of this group have a free slot. For an
    /// owner that values little control traffic above short waits it is one of
    /// this region: what crosses regions is paid.
    pub(crate) fn find_minions(&self, group: &str, owner: &OwnerName) -> Option<DaemonId> {
        let free = |summary: &Summary| {
            let found = summary.groups.iter().find(|found| found.group == group);
            found.map_or(0, |found| found.free_slots)
        };
        let near = self.members.live_in(self.now_ms, &self.me.zone);
        let near = near.filter(|member| !member.stopping && free(&member.summary) > 0);
        if let Some(member) = near.max_by_key(|member| free(&member.summary)) {
            return Some(member.identity.daemon.clone());
        }
        let weights = self.catalogue.owner(owner).map(|owner| owner.weights).unwrap_or_default();
        let stays = weights.control > weights.waiting;
        self.find_far(&|summary: &Summary| free(summary) > 0, stays)
    }

    /// Whether a zone is in another region.
    fn is_abroad(&self, state: &ZoneState) -> bool {
        state.news.daemons.first().is_none_or(|daemon| daemon.region != self.me.region)
    }

    /// A daemon of another zone, the same region before others.
    fn find_far(&self, offers: &dyn Fn(&Summary) -> bool, stays: bool) -> Option<DaemonId> {
        let fresh_ms = self.settings.membership.silent_after_ms * NEWS_OLD_FACTOR;
        let mut zones: Vec<&ZoneState> = Vec::new();
        for state in self.zones.values() {
            let fresh = self.now_ms < state.heard_ms + fresh_ms;
            if fresh && offers(&state.news.summary) && !(stays && self.is_abroad(state)) {
                zones.push(state);
            }
        }
        zones.sort_by_key(|state| {
            (self.is_abroad(state), state.news.summary.queued, state.news.zone.clone())
        });
        let state = zones.first()?;
        let daemons = state.news.daemons.iter().map(|found| &found.daemon);
        assign::winner(self.me.daemon.as_str(), daemons).cloned()
    }
}

pub(crate) fn is_summary_news(old: &Summary, new: &Summary) -> bool {
    if old.owners.len() != new.owners.len() || old.groups.len() != new.groups.len() {
        return true;
    }
    let moved = |before: u64, after: u64| {
        before.abs_diff(after) * 1_000 > before.max(after) * NEWS_CHANGE_PERMILLE
    };
    let mut owners = old.owners.iter().zip(&new.owners);
    let mut groups = old.groups.iter().zip(&new.groups);
    owners.any(|(before, after)| {
        let (free, now_free) = (&before.largest_free, &after.largest_free);
        before.owner != after.owner
            || before.largest != after.largest
            || moved(free.cpu_millis, now_free.cpu_millis)
            || moved(free.memory_bytes, now_free.memory_bytes)
            || moved(free.accelerators, now_free.accelerators)
    }) || groups.any(|(before, after)| {
        let none = (before.free_slots == 0) != (after.free_slots == 0);
        none || moved(u64::from(before.free_slots), u64::from(after.free_slots))
    })
}
