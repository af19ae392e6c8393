//! News of zones, told only when they changed.

use std::collections::BTreeMap;
use std::collections::HashMap;

use stoatwell_membership::assign;
use stoatwell_membership::members::RELAY_KEY;
use stoatwell_model::DaemonId;
use stoatwell_model::ZoneName;
use stoatwell_model::peer::OwnerSummary;
use stoatwell_model::peer::Summary;

use crate::Engine;
use crate::message::PeerCall;
use crate::message::ZoneUpdate;
use crate::ops::PeerOp;
use crate::peers::NEWS_REPEAT_MS;
use crate::peers::ZoneState;
use crate::peers::is_summary_news;

/// Exchanges that a relay waits for the other side's call before it calls itself.
const RELAY_PATIENCE: u64 = 3;

impl Engine {
    pub(crate) fn beat_relays(&mut self) {
        let quiet_ms = self.settings.membership.relay_ms * RELAY_PATIENCE;
        for (zone, daemon) in self.far_relays() {
            // The answer carries the other side's news, so one of the two calls.
            // The other one does so too when it has not been called for a while.
            let heard_ms = self.zones.get(&zone).map_or(0, |state| state.heard_ms);
            let waits = self.me.zone > zone && self.now_ms < heard_ms + quiet_ms;
            if waits {
                continue;
            }
            let news = self.own_news_for(&zone);
            let call = PeerCall::Heartbeat { beat: self.heartbeat(), news };
            self.call_peer(PeerOp::Heartbeat, &daemon, call);
        }
    }

    /// The own zone's news for another zone, if they are due there.
    pub(crate) fn own_news_for(&mut self, zone: &ZoneName) -> Vec<ZoneUpdate> {
        let news = self.own_zone_news();
        if self.telling.zone_news.as_ref().is_none_or(|told| is_news(told, &news)) {
            self.telling.zone_news = Some(news.clone());
            self.telling.zone_changes += 1;
        }
        let changes = self.telling.zone_changes;
        let (told, told_ms) = self.telling.zones.get(zone).copied().unwrap_or_default();
        if told == changes && self.now_ms < told_ms + NEWS_REPEAT_MS {
            return Vec::new();
        }
        self.telling.zones.insert(zone.clone(), (changes, self.now_ms));
        vec![news]
    }

    /// One daemon of every other zone: the relay by that zone's own last word,
    /// or, where nothing was heard of it, its listed daemons in turn.
    pub(crate) fn far_relays(&self) -> Vec<(ZoneName, DaemonId)> {
        let fresh_ms = self.settings.membership.silent_after_ms;
        let turn = (self.now_ms / self.settings.membership.relay_ms.max(1)) as usize;
        let mut relays = Vec::new();
        for (zone, listed) in self.members.other_zones() {
            let heard =
                self.zones.get(zone).filter(|state| self.now_ms < state.heard_ms + fresh_ms);
            let said = heard.into_iter().flat_map(|state| &state.news.daemons);
            let relay = assign::winner(RELAY_KEY, said.map(|found| &found.daemon));
            let relay = relay.or_else(|| listed.get(turn % listed.len()).copied());
            relays.extend(relay.map(|daemon| (zone.clone(), daemon.clone())));
        }
        relays
    }

    pub(crate) fn own_zone_news(&mut self) -> ZoneUpdate {
        let mut summary = self.summary();
        let mut daemons = vec![self.me.clone()];
        let mut revision = self.catalogue.revision();
        for member in self.members.live_in(self.now_ms, &self.me.zone) {
            daemons.push(member.identity.clone());
            revision = revision.max(member.revision);
            add_summary(&mut summary, &member.summary);
        }
        ZoneUpdate { zone: self.me.zone.clone(), age_ms: 0, daemons, revision, summary }
    }

    /// News of other zones that this daemon has not been told.
    pub(crate) fn news_for(&mut self, daemon: &DaemonId) -> Vec<ZoneUpdate> {
        let now_ms = self.now_ms;
        let mut news = Vec::new();
        for state in self.zones.values_mut() {
            let (told_changes, told_ms) = state.told.get(daemon).copied().unwrap_or_default();
            let due = told_changes != state.changes || now_ms >= told_ms + NEWS_REPEAT_MS;
            if !due {
                continue;
            }
            state.told.insert(daemon.clone(), (state.changes, now_ms));
            let age_ms = now_ms.saturating_sub(state.heard_ms);
            news.push(ZoneUpdate { age_ms, ..state.news.clone() });
        }
        news
    }

    pub(crate) fn on_news(&mut self, news: Vec<ZoneUpdate>) {
        for item in news {
            if item.zone == self.me.zone {
                continue;
            }
            let heard_ms = self.now_ms.saturating_sub(item.age_ms);
            let Some(state) = self.zones.get_mut(&item.zone) else {
                let told = HashMap::new();
                let state = ZoneState { news: item.clone(), heard_ms, changes: 1, told };
                self.zones.insert(item.zone, state);
                continue;
            };
            if heard_ms < state.heard_ms {
                continue;
            }
            if is_news(&state.news, &item) {
                state.changes += 1;
            }
            state.heard_ms = heard_ms;
            state.news = item;
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

/// Whether the difference is worth telling.
fn is_news(old: &ZoneUpdate, new: &ZoneUpdate) -> bool {
    old.daemons != new.daemons
        || old.revision != new.revision
        || is_summary_news(&old.summary, &new.summary)
}
