//! Exchange of zone updates between the relays of the zones.
//!
//! A zone update describes the load and the daemons of one zone. It is sent again when it
//! changes significantly, or after [`UPDATE_RESEND_MS`]. In messages, zone updates are
//! called `news`.

use std::collections::BTreeMap;
use std::collections::HashMap;

use stoatwell_membership::members::RELAY_KEY;
use stoatwell_membership::rendezvous;
use stoatwell_model::DaemonId;
use stoatwell_model::ZoneName;
use stoatwell_model::peer::OwnerSummary;
use stoatwell_model::peer::Summary;

use crate::Engine;
use crate::message::PeerCall;
use crate::message::ZoneUpdate;
use crate::ops::PeerOp;
use crate::peers::UPDATE_RESEND_MS;
use crate::peers::ZoneState;
use crate::peers::is_significant_summary_change;

/// Number of relay intervals that a relay waits for a call from the relay of another
/// zone. After that, it sends the call itself.
const RELAY_WAIT_EXCHANGES: u64 = 3;

impl Engine {
    pub(crate) fn send_relay_heartbeats(&mut self) {
        let quiet_ms = self.settings.membership.relay_ms * RELAY_WAIT_EXCHANGES;
        for (zone, daemon) in self.other_zone_relays() {
            // The reply carries the other zone's update, so one call serves both relays.
            // The relay whose zone name sorts later calls only if it has not been called
            // for a while.
            let heard_ms = self.zones.get(&zone).map_or(0, |state| state.heard_ms);
            let waits_for_peer = self.me.zone > zone && self.now_ms < heard_ms + quiet_ms;
            if waits_for_peer {
                continue;
            }
            let news = self.own_zone_update_for(&zone);
            let call = PeerCall::Heartbeat { beat: self.heartbeat(), news };
            self.call_peer(PeerOp::Heartbeat, &daemon, call);
        }
    }

    /// The update about this zone for another zone. Empty if that zone was sent an update
    /// less than [`UPDATE_RESEND_MS`] ago and no significant change followed.
    pub(crate) fn own_zone_update_for(&mut self, zone: &ZoneName) -> Vec<ZoneUpdate> {
        let update = self.own_zone_update();
        if self
            .announcements
            .zone_update
            .as_ref()
            .is_none_or(|published| is_significant_change(published, &update))
        {
            self.announcements.zone_update = Some(update.clone());
            self.announcements.zone_update_version += 1;
        }
        let version = self.announcements.zone_update_version;
        let (sent_version, sent_ms) =
            self.announcements.zone_update_sent.get(zone).copied().unwrap_or_default();
        if sent_version == version && self.now_ms < sent_ms + UPDATE_RESEND_MS {
            return Vec::new();
        }
        self.announcements.zone_update_sent.insert(zone.clone(), (version, self.now_ms));
        vec![update]
    }

    /// One daemon of every other zone. If there is a recent update about the zone, this
    /// is the zone's relay; otherwise the daemons on the instance list take turns.
    pub(crate) fn other_zone_relays(&self) -> Vec<(ZoneName, DaemonId)> {
        let max_age_ms = self.settings.membership.silent_after_ms;
        let rotation = (self.now_ms / self.settings.membership.relay_ms.max(1)) as usize;
        let mut relays = Vec::new();
        for (zone, listed) in self.members.other_zones() {
            let recent_state =
                self.zones.get(zone).filter(|state| self.now_ms < state.heard_ms + max_age_ms);
            let reported_daemons = recent_state.into_iter().flat_map(|state| &state.update.daemons);
            let relay = rendezvous::select(RELAY_KEY, reported_daemons.map(|found| &found.daemon));
            let relay = relay.or_else(|| listed.get(rotation % listed.len()).copied());
            relays.extend(relay.map(|daemon| (zone.clone(), daemon.clone())));
        }
        relays
    }

    /// A summary over all live daemons of this zone.
    pub(crate) fn own_zone_update(&mut self) -> ZoneUpdate {
        let mut summary = self.summary();
        let mut daemons = vec![self.me.clone()];
        let mut revision = self.catalogue.revision();
        for member in self.members.live_in_zone(self.now_ms, &self.me.zone) {
            daemons.push(member.identity.clone());
            revision = revision.max(member.revision);
            add_summary(&mut summary, &member.summary);
        }
        ZoneUpdate { zone: self.me.zone.clone(), age_ms: 0, daemons, revision, summary }
    }

    /// The updates about other zones that `daemon` has not been sent yet, or that were last
    /// sent to it at least [`UPDATE_RESEND_MS`] ago.
    pub(crate) fn other_zone_updates_for(&mut self, daemon: &DaemonId) -> Vec<ZoneUpdate> {
        let now_ms = self.now_ms;
        let mut updates = Vec::new();
        for state in self.zones.values_mut() {
            let (sent_version, sent_ms) = state.sent.get(daemon).copied().unwrap_or_default();
            let due = sent_version != state.version || now_ms >= sent_ms + UPDATE_RESEND_MS;
            if !due {
                continue;
            }
            state.sent.insert(daemon.clone(), (state.version, now_ms));
            let age_ms = now_ms.saturating_sub(state.heard_ms);
            updates.push(ZoneUpdate { age_ms, ..state.update.clone() });
        }
        updates
    }

    pub(crate) fn on_zone_updates(&mut self, updates: Vec<ZoneUpdate>) {
        for update in updates {
            if update.zone == self.me.zone {
                continue;
            }
            let heard_ms = self.now_ms.saturating_sub(update.age_ms);
            let Some(state) = self.zones.get_mut(&update.zone) else {
                let sent = HashMap::new();
                let state = ZoneState { update: update.clone(), heard_ms, version: 1, sent };
                self.zones.insert(update.zone, state);
                continue;
            };
            if heard_ms < state.heard_ms {
                continue;
            }
            if is_significant_change(&state.update, &update) {
                state.version += 1;
            }
            state.heard_ms = heard_ms;
            state.update = update;
        }
    }

    pub(crate) fn zones_heard(&self) -> BTreeMap<ZoneName, u64> {
        let age = |state: &ZoneState| self.now_ms.saturating_sub(state.heard_ms);
        self.zones.iter().map(|(zone, state)| (zone.clone(), age(state))).collect()
    }
}

fn add_summary(sum: &mut Summary, part: &Summary) {
    sum.workers += part.workers;
    sum.queued = sum.queued.saturating_add(part.queued);
    sum.running += part.running;
    for owner in &part.owners {
        match sum.owners.iter_mut().find(|found| found.owner == owner.owner) {
            Some(found) => add_owner(found, owner),
            None => sum.owners.push(owner.clone()),
        }
    }
    for group in &part.groups {
        match sum.groups.iter_mut().find(|found| found.group == group.group) {
            Some(found) => {
                found.free_slots += group.free_slots;
                found.slots += group.slots;
            }
            None => sum.groups.push(group.clone()),
        }
    }
}

fn add_owner(sum: &mut OwnerSummary, part: &OwnerSummary) {
    sum.largest_free = sum.largest_free.max(&part.largest_free);
    sum.largest = sum.largest.max(&part.largest);
}

/// Whether the difference is large enough to be sent.
fn is_significant_change(old: &ZoneUpdate, new: &ZoneUpdate) -> bool {
    old.daemons != new.daemons
        || old.revision != new.revision
        || is_significant_summary_change(&old.summary, &new.summary)
}
