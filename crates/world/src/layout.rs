//! The simulated cell: daemons, workers, minions, and a catalogue.

use stoatwell_catalogue::Item;
use stoatwell_catalogue::document;
use stoatwell_catalogue::edit::Edit;
use stoatwell_catalogue::edit::EditKind;
use stoatwell_catalogue::edit::EditRequest;
use stoatwell_catalogue::edit::EditStep;
use stoatwell_model::DaemonId;
use stoatwell_model::MinionId;
use stoatwell_model::OwnerName;
use stoatwell_model::RegionName;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_model::peer::Identity;
use stoatwell_model::target::TargetChange;
use stoatwell_model::worker::MinionState;
use stoatwell_platform::Instance;
use stoatwell_platform::InstanceKind;
use stoatwell_platform::InstanceState;
use stoatwell_settings::Settings;
use stoatwell_standin::worker::Worker;

use crate::World;

pub const GIB: u64 = 1 << 30;

pub struct Layout {
    /// Name, zone and region of each daemon, grouped by zone.
    pub daemons: Vec<(String, String, String)>,
    pub workers_per_zone: u32,
    pub capacity: Resources,
    /// Uses short intervals and timeouts, for tests, instead of those of the example settings.
    pub short_timeouts: bool,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            daemons: daemons(&[("zone-a", 3), ("zone-b", 1)], "region"),
            workers_per_zone: 4,
            capacity: Resources { cpu_millis: 8_000, memory_bytes: 32 * GIB, accelerators: 2 },
            short_timeouts: true,
        }
    }
}

const CATALOGUE: &str = r#"{ "entries": [
  { "kind": "owner", "owner": "nyaysetu", "quota": { "cpu_millis": 1000000, "memory_bytes": 10000000000000, "accelerators": 100 } },
  { "kind": "owner", "owner": "bluebonnet", "quota": { "cpu_millis": 1000000, "memory_bytes": 10000000000000, "accelerators": 100 } },
  { "kind": "work", "name": "bundle", "owner": "nyaysetu", "class": "batch", "execution": "idempotent", "urgency": "patient",
    "task": { "cpu_millis": 2000, "memory_bytes": 1073741824 } },
  { "kind": "work", "name": "urgent", "owner": "nyaysetu", "class": "batch", "execution": "idempotent", "urgency": "urgent",
    "task": { "cpu_millis": 2000, "memory_bytes": 1073741824 } },
  { "kind": "work", "name": "route", "owner": "nyaysetu", "class": "batch", "execution": "at_most_once",
    "task": { "cpu_millis": 1000, "memory_bytes": 1073741824 } },
  { "kind": "work", "name": "packet", "owner": "nyaysetu", "class": "gang", "execution": "exclusive",
    "task": { "cpu_millis": 1000, "memory_bytes": 1073741824, "accelerators": 1 } },
  { "kind": "work", "name": "solo", "owner": "nyaysetu", "class": "batch", "execution": "exclusive",
    "task": { "cpu_millis": 1000, "memory_bytes": 1073741824 } },
  { "kind": "work", "name": "desk", "owner": "nyaysetu", "class": "service", "execution": "idempotent",
    "task": { "cpu_millis": 500, "memory_bytes": 1073741824 } },
  { "kind": "work", "name": "booking", "owner": "nyaysetu", "class": "request", "execution": "at_most_once",
    "minions": "sahay", "limits": { "deadline_ms": 2000 } },
  { "kind": "work", "name": "headcount", "owner": "nyaysetu", "class": "request", "execution": "idempotent",
    "minions": "sahay", "limits": { "deadline_ms": 2000 } }
] }"#;

/// Name, zone and region of daemons named d0, d1, ... in these zones of one region.
pub fn daemons(zones: &[(&str, usize)], region: &str) -> Vec<(String, String, String)> {
    let mut all = Vec::new();
    for (zone, count) in zones {
        for _ in 0..*count {
            all.push((format!("d{}", all.len()), (*zone).to_owned(), region.to_owned()));
        }
    }
    all
}

impl Layout {
    /// A cell with the topology of the target: nine zones in four regions.
    pub fn nine_zones(daemons_per_zone: usize, workers_per_zone: u32) -> Self {
        let mut all = Vec::new();
        for zone in 0..9 {
            for _ in 0..daemons_per_zone {
                let region = format!("region-{}", zone % 4);
                all.push((format!("d{}", all.len()), format!("zone-{zone}"), region));
            }
        }
        Self { daemons: all, workers_per_zone, short_timeouts: false, ..Self::default() }
    }

    pub fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = self.daemons.iter().map(|(_, zone, _)| zone.clone()).collect();
        zones.dedup();
        zones
    }

    pub fn worker_ids(&self, zone: &str) -> Vec<WorkerId> {
        (0..self.workers_per_zone)
            .map(|number| WorkerId::new(format!("{zone}-w{number}")))
            .collect()
    }

    pub fn identity(&self, index: usize, incarnation: u64) -> Identity {
        let (name, zone, region) = &self.daemons[index];
        Identity {
            daemon: DaemonId::new(name),
            zone: ZoneName::new(zone),
            region: RegionName::new(region),
            peer_address: format!("peer-{index}"),
            incarnation,
        }
    }

    pub fn settings(&self, index: usize) -> Settings {
        let (name, zone, region) = &self.daemons[index];
        let mut settings = stoatwell_settings::example(name);
        settings.daemon.zone = ZoneName::new(zone);
        settings.daemon.region = RegionName::new(region);
        if !self.short_timeouts {
            return settings;
        }
        settings.leases.ttl_ms = 2_000;
        settings.leases.renew_wait_ms = 500;
        settings.leases.orphan_ms = 3_000;
        settings.membership.heartbeat_ms = 200;
        settings.membership.relay_ms = 400;
        settings.membership.silent_after_ms = 1_000;
        settings.membership.peer_timeout_ms = 400;
        settings.platform.instances_interval_ms = 1_000;
        settings.ledger.sweep_ms = 1_000;
        settings.ledger.commits_per_second = 50;
        settings.ledger.accept_timeout_ms = 1_000;
        settings.catalogue.poll_ms = 500;
        settings
    }

    pub fn instances(&self) -> Vec<Instance> {
        let mut instances = Vec::new();
        for (index, (name, zone, _)) in self.daemons.iter().enumerate() {
            instances.push(instance(name, InstanceKind::Entry, zone, &format!("peer-{index}")));
        }
        for zone in self.zones() {
            for worker in self.worker_ids(&zone) {
                instances.push(instance(
                    worker.as_str(),
                    InstanceKind::Worker,
                    &zone,
                    worker.as_str(),
                ));
            }
        }
        instances
    }

    pub fn populate(&self, world: &mut World) {
        for zone in self.zones() {
            for id in self.worker_ids(&zone) {
                let worker = Worker::new(id.clone(), format!("{zone}-rack"), self.capacity, 1_000)
                    .allow_overcommit();
                let minion = MinionState {
                    minion: MinionId::new(format!("{id}-minion")),
                    group: "sahay".to_owned(),
                    address: id.to_string(),
                    slots: 4,
                    connections: 64,
                    busy: 0,
                };
                world.add_worker(&id, &zone, worker, Some(minion));
                let change = TargetChange::Start { owner: OwnerName::new("nyaysetu") };
                apply(world, &format!("target/{id}"), EditKind::Target(id.clone(), change));
            }
        }
        for item in document::parse(CATALOGUE).expect("the test's catalogue is valid") {
            let key = match &item {
                Item::Work(work) => format!("work/{}", work.name),
                Item::Owner(owner) => format!("owner/{}", owner.owner),
                Item::Target(target) => format!("target/{}", target.worker),
            };
            apply(world, &key, EditKind::Put(item));
        }
    }
}

fn instance(name: &str, kind: InstanceKind, zone: &str, address: &str) -> Instance {
    Instance {
        name: name.to_owned(),
        kind,
        zone: ZoneName::new(zone),
        region: RegionName::new("region"),
        address: address.to_owned(),
        state: InstanceState::Live,
    }
}

/// Writes an item directly into the table, without a daemon.
fn apply(world: &mut World, key: &str, edit: EditKind) {
    let request = EditRequest {
        key: key.to_owned(),
        edit,
        expected: None,
        by: "test".to_owned(),
        at_ms: 0,
        write_id: 0,
    };
    let (mut edit, mut call) = Edit::start(request);
    loop {
        match edit.on_reply(Ok(world.store.call(call))) {
            EditStep::Call(next) => call = next,
            EditStep::Done(result) => {
                result.expect("the test's catalogue is accepted");
                return;
            }
        }
    }
}
