//! Measures how the overhead of the control plane grows with the cell: bytes in the
//! real encodings, store calls, memory and CPU time, each at several sizes with a
//! fitted line.

use std::env;
use std::fs;
use std::process::Command;
use std::time::Duration;

use clap::ArgMatches;
use stoatwell_engine::PeerCall;
use stoatwell_engine::PeerReply;
use stoatwell_model::DaemonId;
use stoatwell_model::OwnerName;
use stoatwell_model::RegionName;
use stoatwell_model::Resources;
use stoatwell_model::ZoneName;
use stoatwell_model::peer::Heartbeat;
use stoatwell_model::peer::Identity;
use stoatwell_model::peer::OwnerSummary;
use stoatwell_model::peer::Summary;
use stoatwell_world::World;
use stoatwell_world::layout::Layout;
use stoatwell_world::traffic::wire_bytes;

use crate::fit;
use crate::idle;
use crate::plot;
use crate::plot::Series;
use crate::spread;

const DAEMONS_PER_ZONE: [usize; 3] = [1, 2, 4];
const WORKERS_PER_ZONE: [u32; 3] = [8, 16, 32];
const TASKS_PER_WORKER: u32 = 15;
const IDLE_MS: u64 = 20_000;
const SUBMISSIONS: u32 = 400;
const CALLS: u32 = 100;

pub(crate) async fn run(matches: &ArgMatches) -> Result<(), String> {
    let mut series = Vec::new();
    idle_rates(&mut series);
    memory(&mut series)?;
    cpu_time(&mut series);
    heartbeat_sizes();
    dissemination();
    transport().await?;
    if let Some(path) = matches.get_one::<String>("plot") {
        plot::draw(path, &series).map_err(|error| error.to_string())?;
        println!("\nplotted to {path}");
    }
    Ok(())
}

fn idle_rates(series: &mut Vec<Series>) {
    println!("## At rest, mean of one daemon a second; nine zones in four regions\n");
    println!(
        "| daemons | workers | peer messages | peer B sent | peer B received | far B sent | busiest peer B | worker calls | worker B | store reads | store writes | store B |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    let mut by_daemons = Vec::new();
    for per_zone in DAEMONS_PER_ZONE {
        let rates = idle::measure(per_zone, 8);
        by_daemons.push((per_zone as f64 * 9.0, rates));
        print_row(per_zone, 8, &rates);
    }
    let mut by_workers = Vec::new();
    for workers in WORKERS_PER_ZONE {
        let rates = idle::measure(2, workers);
        by_workers.push((f64::from(workers) / 2.0, rates));
        print_row(2, workers, &rates);
    }
    println!("\n| figure | intercept | slope | per | residual |\n|---|---|---|---|---|");
    let mut show = |name: &str, per: &str, points: Vec<(f64, f64)>| {
        let line = fit::line(&points);
        println!(
            "| {name} | {:.1} | {:.3} | {per} | {:.1}% |",
            line.intercept,
            line.slope,
            line.residual * 100.0
        );
        series.push(Series { name: format!("{name}, per {per}"), points });
    };
    let daemons = |get: fn(&idle::Rates) -> f64| {
        by_daemons.iter().map(|(x, rates)| (*x, get(rates))).collect()
    };
    show("peer bytes sent a second", "daemon in the cell", daemons(|rates| rates.peer_sent_bytes));
    show(
        "far bytes sent a second",
        "daemon in the cell",
        daemons(|rates| rates.cross_region_sent_bytes),
    );
    show(
        "busiest daemon's peer bytes a second",
        "daemon in the cell",
        daemons(|rates| rates.peak_peer_bytes),
    );
    show("store reads a second", "daemon in the cell", daemons(|rates| rates.store_reads));
    let workers = |get: fn(&idle::Rates) -> f64| {
        by_workers.iter().map(|(x, rates)| (*x, get(rates))).collect()
    };
    show("worker calls a second", "held worker", workers(|rates| rates.worker_calls));
    show("worker bytes a second", "held worker", workers(|rates| rates.worker_bytes));
    show("store bytes a second", "held worker", workers(|rates| rates.store_bytes));
}

fn print_row(per_zone: usize, workers: u32, rates: &idle::Rates) {
    println!(
        "| {} | {} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.0} | {:.2} | {:.2} | {:.0} |",
        per_zone * 9,
        workers * 9,
        rates.peer_messages,
        rates.peer_sent_bytes,
        rates.peer_received_bytes,
        rates.cross_region_sent_bytes,
        rates.peak_peer_bytes,
        rates.worker_calls,
        rates.worker_bytes,
        rates.store_reads,
        rates.store_writes,
        rates.store_bytes
    );
}

/// Memory of a daemon that holds all workers of a zone. Each size runs in a process of
/// its own, because the resident size does not shrink when memory is freed.
fn memory(series: &mut Vec<Series>) -> Result<(), String> {
    println!("\n## Memory of a daemon that holds this many workers with 15 tasks each\n");
    println!("| workers | tasks | resident growth, KiB |\n|---|---|---|");
    let program = env::current_exe().map_err(|error| error.to_string())?;
    let mut points = Vec::new();
    for workers in [100_u32, 200, 400] {
        let output = Command::new(&program).arg("memory").arg(workers.to_string()).output();
        let output = output.map_err(|error| error.to_string())?;
        let text = String::from_utf8_lossy(&output.stdout);
        let kib: f64 = text.trim().parse().map_err(|_error| format!("no number: {text}"))?;
        println!("| {workers} | {} | {kib:.0} |", workers * TASKS_PER_WORKER);
        points.push((f64::from(workers), kib));
    }
    let line = fit::line(&points);
    println!(
        "\nslope {:.1} KiB a worker with its 15 tasks, the fakes of worker and table included, residual {:.1}%",
        line.slope,
        line.residual * 100.0
    );
    series.push(Series { name: "resident KiB, per held worker".to_owned(), points });
    Ok(())
}

/// Prints by how many KiB the resident size of this process grows with a daemon that
/// holds `workers` workers.
pub(crate) fn print_memory(workers: u32) -> Result<(), String> {
    let before = resident_kib()?;
    let world = loaded_world(workers, TASKS_PER_WORKER);
    let after = resident_kib()?;
    println!("{}", after.saturating_sub(before));
    drop(world);
    Ok(())
}

/// A world of one daemon that holds all workers of its zone, each with running tasks.
fn loaded_world(workers: u32, tasks_per_worker: u32) -> World {
    let mut layout = Layout {
        daemons: stoatwell_world::layout::daemons(&[("zone-a", 1)], "region"),
        workers_per_zone: workers,
        ..Layout::default()
    };
    layout.capacity.cpu_millis = 64_000;
    layout.capacity.memory_bytes *= 8;
    let mut world = World::new(3, &layout);
    world.run_ms(4_000);
    let mut remaining = workers * tasks_per_worker;
    let mut number = 0;
    while remaining > 0 {
        let tasks = remaining.min(50);
        remaining -= tasks;
        number += 1;
        world.submit(0, "bundle", &format!("fill-{number}"), tasks, r#"{"run_ms":100000000}"#);
    }
    world.run_ms(8_000);
    world
}

/// Resident size of this process, from `/proc`.
pub(crate) fn resident_kib() -> Result<u64, String> {
    let status = fs::read_to_string("/proc/self/status").map_err(|error| error.to_string())?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).ok_or("no VmRSS")?;
    let number = line.split_whitespace().nth(1).ok_or("no number")?;
    number.parse().map_err(|_error| "no number".to_owned())
}

/// CPU time of a daemon: the real time spent in its engine per virtual time.
fn cpu_time(series: &mut Vec<Series>) {
    println!("\n## Processor time of a daemon by the workers held, 15 running tasks each\n");
    println!(
        "| workers | at rest, % of a core | one submission with its start and end, µs |\n|---|---|---|"
    );
    let mut points = Vec::new();
    for workers in [50_u32, 100, 200, 400] {
        let mut world = loaded_world(workers, TASKS_PER_WORKER);
        let before = world.nodes[0].engine_time;
        world.run_ms(IDLE_MS);
        let idle = world.nodes[0].engine_time.saturating_sub(before);
        let before = world.nodes[0].engine_time;
        for number in 0..SUBMISSIONS {
            world.submit(0, "urgent", &format!("extra-{number}"), 1, r#"{"run_ms":20}"#);
            world.run_ms(IDLE_MS / u64::from(SUBMISSIONS));
        }
        let loaded = world.nodes[0].engine_time.saturating_sub(before);
        let percent = idle.as_secs_f64() * 100.0 / (IDLE_MS as f64 / 1_000.0);
        let us_per_submission =
            loaded.saturating_sub(idle).as_secs_f64() * 1e6 / f64::from(SUBMISSIONS);
        println!("| {workers} | {percent:.3} | {us_per_submission:.0} |");
        points.push((f64::from(workers), percent));
    }
    let line = fit::line(&points);
    println!(
        "\nslope {:.5}% of a core a held worker, intercept {:.3}%, residual {:.1}%",
        line.slope,
        line.intercept,
        line.residual * 100.0
    );
    series.push(Series { name: "% of a core at rest, per held worker".to_owned(), points });
}

/// The size of a heartbeat with its summary, by the number of owners in it.
fn heartbeat_sizes() {
    println!("\n## A heartbeat with its summary, by the owners that the workers serve\n");
    println!("| owners | B |\n|---|---|");
    let mut points = Vec::new();
    for owners in [1_usize, 15, 45] {
        let bytes = wire_bytes(&heartbeat(owners)) as f64;
        println!("| {owners} | {bytes:.0} |");
        points.push((owners as f64, bytes));
    }
    let line = fit::line(&points);
    println!("\nslope {:.1} B an owner, {:.0} B without any", line.slope, line.intercept);
}

fn heartbeat(owners: usize) -> PeerCall {
    let free_capacity =
        Resources { cpu_millis: 12_345, memory_bytes: 34_567_890_123, accelerators: 4 };
    let line = |number: usize| OwnerSummary {
        owner: OwnerName::new(format!("team-{number:02}")),
        largest_free: free_capacity,
        largest: free_capacity,
    };
    let summary = Summary {
        workers: 83,
        queued: 900,
        running: 1_200,
        owners: (0..owners).map(line).collect(),
        groups: Vec::new(),
    };
    let from = Identity {
        daemon: DaemonId::new("entry-17"),
        zone: ZoneName::new("zone-4"),
        region: RegionName::new("region-2"),
        peer_address: "10.20.30.40:7081".to_owned(),
        incarnation: 1_796_259_229_405,
    };
    let beat = Heartbeat { from, revision: 8_000_000, stopping: false, summary: Some(summary) };
    PeerCall::Heartbeat { beat, news: Vec::new() }
}

fn dissemination() {
    println!("\n## One change of the catalogue to the last daemon, 2% of messages lost\n");
    println!(
        "| daemons | way | last daemon ms | messages and reads | cross-region bytes |\n|---|---|---|---|---|"
    );
    for per_zone in [1_usize, 2, 4, 8] {
        let daemons = per_zone * 9;
        let show = |method: &str, cost: spread::SpreadCost| {
            println!(
                "| {daemons} | {method} | {} | {} | {} |",
                cost.last_daemon_ms, cost.messages, cost.cross_region_bytes
            );
        };
        show("polling the table", spread::measure_engines(per_zone, false, false));
        show(
            "polling with hints and relays (kept)",
            spread::measure_engines(per_zone, true, false),
        );
        show(
            "the same, one zone cut off from the table",
            spread::measure_engines(per_zone, true, true),
        );
        show("the paper's tree with clean-up (computed)", spread::compute_tree(daemons, 400));
    }
    println!("\nMessages of the engines include heartbeats and polls during the time shown.");
}

/// Bytes that the transport adds to each encoded message, measured on a real connection.
async fn transport() -> Result<(), String> {
    let listener =
        tokio::net::TcpListener::bind("127.0.0.1:0").await.map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?.to_string();
    let listener_traffic = stoatwell_peer::Traffic::default();
    let handler = |_call: PeerCall| async { stoatwell_engine::PeerReply::Noted };
    let server = tokio::spawn(stoatwell_peer::serve(
        listener,
        "a key of sixteen".to_owned(),
        listener_traffic,
        handler,
    ));
    let traffic = stoatwell_peer::Traffic::default();
    let peers = stoatwell_peer::Peers::new("a key of sixteen", traffic.clone());
    let timeout = Duration::from_secs(5);
    println!("\n## Added by the connection between daemons\n");
    println!("| call | counted B | on the wire B | added B |\n|---|---|---|---|");
    for (name, call) in
        [("a hint", PeerCall::Changed { revision: 7 }), ("a heartbeat of 45 owners", heartbeat(45))]
    {
        peers
            .call::<PeerReply>(&address, &call, timeout)
            .await
            .map_err(|error| error.to_string())?;
        let before = traffic.counts();
        for _ in 0..CALLS {
            peers
                .call::<PeerReply>(&address, &call, timeout)
                .await
                .map_err(|error| error.to_string())?;
        }
        let sent_bytes =
            (traffic.counts().sent_bytes - before.sent_bytes) as f64 / f64::from(CALLS);
        let message_bytes = wire_bytes(&call) as f64;
        println!(
            "| {name} | {message_bytes:.0} | {sent_bytes:.0} | {:.0} |",
            sent_bytes - message_bytes
        );
    }
    server.abort();
    Ok(())
}
