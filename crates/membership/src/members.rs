//! Daemons that are known, and when each was last heard.
//!
//! Inside a zone every daemon hears every other. Between zones one relay a
//! zone, chosen by rendezvous, hears the other relays and passes their news
//! on, so only one copy crosses each pair of zones.

use std::collections::BTreeMap;

use stoatwell_model::DaemonId;
use stoatwell_model::UnixMs;
use stoatwell_model::ZoneName;
use stoatwell_model::peer::Heartbeat;
use stoatwell_model::peer::Identity;
use stoatwell_model::peer::Summary;

use crate::rendezvous;

/// The key whose rendezvous winner speaks for a zone.
pub const RELAY_KEY: &str = "relay";

/// One daemon that is known.
#[derive(Clone, Debug)]
pub struct Member {
    /// Who it is.
    pub identity: Identity,
    /// When it was last heard; 0 is never.
    pub last_heartbeat_ms: UnixMs,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// The catalogue revision it last told.
    pub revision: u64,
    /// What it could place when last heard.
    pub summary: Summary,
}

/// All daemons that this one knows, without itself.
#[derive(Debug)]
pub struct Members {
    me: Identity,
    silent_after_ms: u64,
    started_ms: UnixMs,
    known: BTreeMap<DaemonId, Member>,
}

impl Members {
    /// Knows nobody yet.
    pub fn new(me: Identity, silent_after_ms: u64, now_ms: UnixMs) -> Self {
        Self { me, silent_after_ms, started_ms: now_ms, known: BTreeMap::new() }
    }

    /// Takes the instance list: names new daemons and forgets those that are
    /// neither listed nor heard.
    pub fn update_instances(&mut self, now_ms: UnixMs, listed: &[Identity]) {
        for member in self.known.values_mut() {
            member.listed = false;
        }
        for identity in listed {
            if identity.daemon == self.me.daemon {
                continue;
            }
            let member =
                self.known.entry(identity.daemon.clone()).or_insert_with(|| new_member(identity));
            member.listed = true;
            // The list does not know incarnations; what the daemon says of itself stands.
            if member.last_heartbeat_ms == 0 {
                member.identity = identity.clone();
            }
        }
        let silent_after_ms = self.silent_after_ms;
        self.known.retain(|_, member| {
            member.listed || now_ms < member.last_heartbeat_ms + silent_after_ms
        });
    }

    /// Takes a sign of life. A delayed one of an earlier start is left out.
    pub fn on_heartbeat(&mut self, now_ms: UnixMs, beat: &Heartbeat) {
        if beat.from.daemon == self.me.daemon {
            return;
        }
        let member =
            self.known.entry(beat.from.daemon.clone()).or_insert_with(|| new_member(&beat.from));
        if beat.from.incarnation < member.identity.incarnation {
            return;
        }
        member.identity = beat.from.clone();
        member.last_heartbeat_ms = now_ms;
        member.stopping = beat.stopping;
        member.revision = beat.revision;
        if let Some(summary) = &beat.summary {
            member.summary = summary.clone();
        }
    }

    /// Whether a daemon was heard of late.
    pub fn is_live(&self, now_ms: UnixMs, daemon: &DaemonId) -> bool {
        *daemon == self.me.daemon
            || self.known.get(daemon).is_some_and(|member| self.heard_lately(now_ms, member))
    }

    /// Daemons of my zone that hold workers or may: alive and not stopping.
    pub fn holders(&self, now_ms: UnixMs, stopping: bool) -> Vec<DaemonId> {
        let mut holders = Vec::new();
        for member in self.known.values() {
            let same_zone = member.identity.zone == self.me.zone;
            if same_zone && !member.stopping && self.heard_lately(now_ms, member) {
                holders.push(member.identity.daemon.clone());
            }
        }
        if !stopping {
            holders.push(self.me.daemon.clone());
        }
        holders
    }

    /// Members of a zone that were heard of late.
    pub fn live_in_zone(&self, now_ms: UnixMs, zone: &ZoneName) -> impl Iterator<Item = &Member> {
        self.known.values().filter(move |member| {
            member.identity.zone == *zone && self.heard_lately(now_ms, member)
        })
    }

    /// Members that were heard of late, in any zone.
    pub fn live(&self, now_ms: UnixMs) -> impl Iterator<Item = &Member> {
        self.known.values().filter(move |member| self.heard_lately(now_ms, member))
    }

    /// Everybody that is known.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.known.values()
    }

    /// One daemon.
    pub fn get(&self, daemon: &DaemonId) -> Option<&Member> {
        self.known.get(daemon)
    }

    /// Whether this daemon speaks for its zone.
    pub fn is_relay(&self, now_ms: UnixMs) -> bool {
        let holders = self.holders(now_ms, false);
        rendezvous::select(RELAY_KEY, &holders) == Some(&self.me.daemon)
    }

    /// The daemons of every other zone, by zone.
    pub fn other_zones(&self) -> BTreeMap<&ZoneName, Vec<&DaemonId>> {
        let mut zones: BTreeMap<&ZoneName, Vec<&DaemonId>> = BTreeMap::new();
        for member in self.known.values() {
            if member.identity.zone != self.me.zone {
                zones.entry(&member.identity.zone).or_default().push(&member.identity.daemon);
            }
        }
        zones
    }

    /// Whether enough time has passed since the start to have heard everybody alive.
    pub fn is_warmed_up(&self, now_ms: UnixMs) -> bool {
        now_ms >= self.started_ms + self.silent_after_ms
    }

    fn heard_lately(&self, now_ms: UnixMs, member: &Member) -> bool {
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
