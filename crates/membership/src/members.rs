//! Known daemons and the time of the last heartbeat of each.
//!
//! Within a zone, every daemon sends heartbeats to every other. Between zones, one relay
//! per zone, chosen by rendezvous hashing, exchanges news with the other relays and
//! forwards them to its own zone, so that only one copy is sent between each pair of zones.

use std::collections::BTreeMap;

use stoatwell_model::DaemonId;
use stoatwell_model::UnixMs;
use stoatwell_model::ZoneName;
use stoatwell_model::peer::Heartbeat;
use stoatwell_model::peer::Identity;
use stoatwell_model::peer::Summary;

use crate::rendezvous;

/// Key whose daemon by rendezvous hashing is the relay of a zone.
pub const RELAY_KEY: &str = "relay";

/// State of a known daemon.
#[derive(Clone, Debug)]
pub struct Member {
    /// Identity from its last heartbeat, or from the instance list before the first one.
    pub identity: Identity,
    /// Time of its last heartbeat; 0 means none yet.
    pub last_heartbeat_ms: UnixMs,
    /// Whether the platform's latest list contains it.
    pub listed: bool,
    /// Whether it announced that it is shutting down.
    pub stopping: bool,
    /// Catalogue revision in its last heartbeat.
    pub revision: u64,
    /// Last capacity summary that it sent.
    pub summary: Summary,
}

/// All daemons that this daemon knows, except itself.
#[derive(Debug)]
pub struct Members {
    local: Identity,
    silent_after_ms: u64,
    started_ms: UnixMs,
    daemons: BTreeMap<DaemonId, Member>,
}

impl Members {
    /// Creates an empty member list.
    ///
    /// A daemon counts as dead after `silent_after_ms` without a heartbeat.
    pub fn new(local: Identity, silent_after_ms: u64, now_ms: UnixMs) -> Self {
        Self { local, silent_after_ms, started_ms: now_ms, daemons: BTreeMap::new() }
    }

    /// Updates the members from the platform's instance list.
    ///
    /// Adds new daemons and removes those that are neither listed nor live.
    pub fn update_instances(&mut self, now_ms: UnixMs, listed: &[Identity]) {
        for member in self.daemons.values_mut() {
            member.listed = false;
        }
        for identity in listed {
            if identity.daemon == self.local.daemon {
                continue;
            }
            let member =
                self.daemons.entry(identity.daemon.clone()).or_insert_with(|| new_member(identity));
            member.listed = true;
            // The list does not contain incarnations, so the identity from a heartbeat
            // takes precedence.
            if member.last_heartbeat_ms == 0 {
                member.identity = identity.clone();
            }
        }
        let silent_after_ms = self.silent_after_ms;
        self.daemons.retain(|_, member| {
            member.listed || now_ms < member.last_heartbeat_ms + silent_after_ms
        });
    }

    /// Handles a heartbeat. Ignores a delayed one from an earlier incarnation.
    pub fn on_heartbeat(&mut self, now_ms: UnixMs, heartbeat: &Heartbeat) {
        if heartbeat.from.daemon == self.local.daemon {
            return;
        }
        let member = self
            .daemons
            .entry(heartbeat.from.daemon.clone())
            .or_insert_with(|| new_member(&heartbeat.from));
        if heartbeat.from.incarnation < member.identity.incarnation {
            return;
        }
        member.identity = heartbeat.from.clone();
        member.last_heartbeat_ms = now_ms;
        member.stopping = heartbeat.stopping;
        member.revision = heartbeat.revision;
        if let Some(summary) = &heartbeat.summary {
            member.summary = summary.clone();
        }
    }

    /// Whether a daemon is this one or sent a heartbeat recently.
    pub fn is_live(&self, now_ms: UnixMs, daemon: &DaemonId) -> bool {
        *daemon == self.local.daemon
            || self.daemons.get(daemon).is_some_and(|member| self.is_member_live(now_ms, member))
    }

    /// Daemons of this zone that may hold workers: live and not shutting down.
    ///
    /// `stopping` tells whether this daemon itself is shutting down.
    pub fn holders(&self, now_ms: UnixMs, stopping: bool) -> Vec<DaemonId> {
        let mut holders = Vec::new();
        for member in self.daemons.values() {
            let same_zone = member.identity.zone == self.local.zone;
            if same_zone && !member.stopping && self.is_member_live(now_ms, member) {
                holders.push(member.identity.daemon.clone());
            }
        }
        if !stopping {
            holders.push(self.local.daemon.clone());
        }
        holders
    }

    /// Other daemons of a zone that sent a heartbeat recently.
    pub fn live_in_zone(&self, now_ms: UnixMs, zone: &ZoneName) -> impl Iterator<Item = &Member> {
        self.daemons.values().filter(move |member| {
            member.identity.zone == *zone && self.is_member_live(now_ms, member)
        })
    }

    /// Other daemons of any zone that sent a heartbeat recently.
    pub fn live(&self, now_ms: UnixMs) -> impl Iterator<Item = &Member> {
        self.daemons.values().filter(move |member| self.is_member_live(now_ms, member))
    }

    /// All known daemons, live or not.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.daemons.values()
    }

    /// State of a daemon; `None` if it is unknown or this daemon itself.
    pub fn get(&self, daemon: &DaemonId) -> Option<&Member> {
        self.daemons.get(daemon)
    }

    /// Whether this daemon is the relay of its zone.
    pub fn is_relay(&self, now_ms: UnixMs) -> bool {
        let holders = self.holders(now_ms, false);
        rendezvous::select(RELAY_KEY, &holders) == Some(&self.local.daemon)
    }

    /// Known daemons of every other zone, live or not, by zone.
    pub fn other_zones(&self) -> BTreeMap<&ZoneName, Vec<&DaemonId>> {
        let mut zones: BTreeMap<&ZoneName, Vec<&DaemonId>> = BTreeMap::new();
        for member in self.daemons.values() {
            if member.identity.zone != self.local.zone {
                zones.entry(&member.identity.zone).or_default().push(&member.identity.daemon);
            }
        }
        zones
    }

    /// Whether this daemon has run long enough to have received a heartbeat from every
    /// live daemon.
    pub fn is_warmed_up(&self, now_ms: UnixMs) -> bool {
        now_ms >= self.started_ms + self.silent_after_ms
    }

    fn is_member_live(&self, now_ms: UnixMs, member: &Member) -> bool {
        member.last_heartbeat_ms > 0 && now_ms < member.last_heartbeat_ms + self.silent_after_ms
    }
}

fn new_member(identity: &Identity) -> Member {
    Member {
        identity: identity.clone(),
        last_heartbeat_ms: 0,
        listed: false,
        stopping: false,
        revision: 0,
        summary: Summary::default(),
    }
}
