//! The scheduler's counters and gauges, and the summary that it logs every second.

use std::time::Duration;

use stoatwell_model::BELIEF_TARGET;
use stoatwell_pool::CallError;
use stoatwell_pool::Counts;
use stoatwell_pool::CycleWork;
use stoatwell_pool::Event;
use stoatwell_pool::Pool;
use stoatwell_pool::StartReply;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::advisor_dispatcher::DispatcherCounts;
use crate::inbox::Inbox;

/// Interval at which a daemon checks whether its process runs.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A check that is later than this is logged: the process was suspended, its machine did not
/// run it, or one of its tasks did not yield.
const PAUSE_MIN: Duration = Duration::from_millis(200);
/// Maximum number of customers with gauges of their own; the state dump lists all of them.
const CUSTOMERS_MEASURED_MAX: usize = 100;

/// Logs each time for which this process did not run. Timeouts that end then say nothing about
/// other daemons.
pub(crate) async fn watch_pauses() {
    loop {
        let due = Instant::now() + PAUSE_CHECK_INTERVAL;
        sleep_until(due).await;
        let late = due.elapsed();
        if late < PAUSE_MIN {
            continue;
        }
        let paused_ms = late.as_millis() as u64;
        tracing::warn!(target: BELIEF_TARGET, paused_ms, "this process did not run");
        metrics::counter!("stoatwell_pauses_total").increment(1);
        metrics::counter!("stoatwell_paused_ms_total").increment(paused_ms);
    }
}

/// Counts the responses of workers and of the advisor, and cancellations by their source.
pub(crate) fn count_event(event: &Event) {
    match event {
        Event::Held { reply, .. } => {
            let outcome = reply.as_ref().map_or_else(CallError::to_string, |_| "answered".into());
            metrics::counter!("stoatwell_holds_total", "outcome" => outcome).increment(1);
            let Ok(reply) = reply else { return };
            if reply.may_have_more_ended {
                metrics::counter!("stoatwell_incomplete_reports_total").increment(1);
            }
            for ended in &reply.ended {
                let end = ended.end.to_string();
                metrics::counter!("stoatwell_ends_listed_total", "end" => end).increment(1);
            }
        }
        Event::Cancelled { source, .. } => {
            metrics::counter!("stoatwell_cancellations_learned_total", "source" => source.to_string())
                .increment(1);
        }
        Event::Started { reply, .. } => {
            let outcome = reply.as_ref().map_or_else(CallError::to_string, StartReply::to_string);
            metrics::counter!("stoatwell_starts_total", "outcome" => outcome).increment(1);
        }
        Event::Advised { granted, .. } => {
            let outcome = if granted.is_some() { "answered" } else { "no answer" };
            metrics::counter!("stoatwell_advice_total", "outcome" => outcome).increment(1);
        }
        _ => {}
    }
}

/// Time that the leader spent in the scheduling cycles of the last second, by phase.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CycleTimes {
    cycles: u32,
    messages: usize,
    requests: usize,
    inbox_delay_max: Duration,
    handling: Duration,
    yielded: Duration,
    deciding: Duration,
    calling: Duration,
    deciding_max: Duration,
    /// The scheduler's counts when these times began to be added up.
    work_before: CycleWork,
}

/// What a scheduling cycle did, and how long each phase took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cycle {
    /// Messages handled.
    pub messages: usize,
    /// Requests of daemons handled.
    pub requests: usize,
    /// How long messages wait in the inbox.
    pub inbox_delay: Duration,
    /// Time spent handling messages and requests.
    pub handling: Duration,
    /// Time given to the daemon's other tasks meanwhile.
    pub yielded: Duration,
    /// Time spent deciding.
    pub deciding: Duration,
    /// Time spent dispatching calls.
    pub calling: Duration,
}

impl CycleTimes {
    /// No time yet, for a scheduler that has done this work.
    pub fn starting_at(work_before: CycleWork) -> Self {
        Self { work_before, ..Self::default() }
    }

    /// Time spent in all phases.
    pub fn total(&self) -> Duration {
        self.handling + self.yielded + self.deciding + self.calling
    }

    /// Adds a cycle.
    pub fn add(&mut self, cycle: &Cycle) {
        self.cycles += 1;
        self.messages += cycle.messages;
        self.requests += cycle.requests;
        self.inbox_delay_max = self.inbox_delay_max.max(cycle.inbox_delay);
        self.handling += cycle.handling;
        self.yielded += cycle.yielded;
        self.deciding += cycle.deciding;
        self.deciding_max = self.deciding_max.max(cycle.deciding);
        self.calling += cycle.calling;
    }
}

/// Logs and counts what scheduling cycles looked at.
fn publish_cycle_work(pool: &Pool, counts: &Counts, cycle_times: &CycleTimes) {
    let CycleWork { cycles, limited, workers_read, steps_visited, attempts, pairs } =
        pool.cycle_work().since(cycle_times.work_before);
    tracing::info!(
        cycles,
        limited_cycles = limited,
        steps_visited,
        attempts,
        workers_read,
        placement_pairs = pairs.placement,
        room_pairs = pairs.room,
        granted_capacity_pairs = pairs.granted_capacity,
        selection_pairs = pairs.selection,
        reservation_pairs = pairs.reservation,
        queued_demands = counts.queued_demands,
        urgent_steps = counts.urgent_steps,
        urgent_wait_ms = counts.urgent_wait_ms,
        deciding_max_ms = cycle_times.deciding_max.as_millis() as u64,
        "decisions"
    );
    let work = [
        ("workers read", workers_read),
        ("steps visited", steps_visited),
        ("placement", pairs.placement),
        ("room", pairs.room),
        ("granted capacity", pairs.granted_capacity),
        ("selection", pairs.selection),
        ("reservation", pairs.reservation),
    ];
    for (purpose, count) in work {
        metrics::counter!("stoatwell_decision_work_total", "purpose" => purpose).increment(count);
    }
    metrics::gauge!("stoatwell_queued_demands").set(counts.queued_demands as f64);
    metrics::gauge!("stoatwell_urgent_wait_ms").set(counts.urgent_wait_ms as f64);
}

/// Counts and logs the attempts to run gangs since this daemon began to lead.
fn publish_gang_attempts(pool: &Pool) {
    for (tasks_max, attempts) in pool.gang_attempts() {
        if attempts.begun == 0 {
            continue;
        }
        let size = tasks_max.map_or_else(|| "more".to_owned(), |tasks| tasks.to_string());
        let failed: Vec<String> =
            attempts.failed.iter().map(|(failure, count)| format!("{count} {failure}")).collect();
        let failed = failed.join(", ");
        tracing::info!(size, begun = attempts.begun, done = attempts.done, failed, "gang attempts");
        let publish = |outcome: String, count: u64| {
            metrics::counter!("stoatwell_gang_attempts_total", "size" => size.clone(), "outcome" => outcome)
                .absolute(count);
        };
        publish("done".to_owned(), attempts.done);
        for (failure, count) in &attempts.failed {
            publish(failure.to_string(), *count);
        }
    }
}

/// Sets the gauges of the scheduler's view of the pool and logs its summary.
pub(crate) fn publish_gauges(
    pool: &Pool,
    cycle_times: &CycleTimes,
    inbox: &Inbox,
    advisor: DispatcherCounts,
) {
    let counts = pool.counts();
    let queued_messages = inbox.len();
    let inbox_delay_ms = cycle_times.inbox_delay_max.as_millis() as u64;
    tracing::info!(
        queued_jobs = counts.queued_jobs,
        running_jobs = counts.running_jobs,
        queued_steps = counts.queued_steps,
        steps_waiting_with_room = counts.steps_waiting_with_room,
        workers_age_ms = counts.workers_age_ms,
        oldest_write_ms = counts.oldest_write_ms,
        open_workers = counts.open_workers,
        silent_workers = counts.silent_workers,
        free_cpu_millis = counts.free_cpu_millis,
        used_cpu_millis = counts.used_cpu_millis,
        ticketless_cpu_millis = counts.ticketless_cpu_millis,
        unconfirmed_cpu_millis = counts.unconfirmed_cpu_millis,
        stopping_cpu_millis = counts.stopping_cpu_millis,
        advisor_proxies = advisor.proxies,
        excluded_proxies = advisor.excluded_proxies,
        queued_queries = advisor.queued,
        query_queue_age_ms = advisor.queue_age_ms,
        turns = cycle_times.cycles,
        messages = cycle_times.messages,
        requests = cycle_times.requests,
        queued_messages,
        inbox_delay_ms,
        handling_ms = cycle_times.handling.as_millis() as u64,
        yielded_ms = cycle_times.yielded.as_millis() as u64,
        deciding_ms = cycle_times.deciding.as_millis() as u64,
        calling_ms = cycle_times.calling.as_millis() as u64,
        "pool"
    );
    publish_cycle_work(pool, &counts, cycle_times);
    publish_gang_attempts(pool);
    for usage in pool.customers().into_iter().take(CUSTOMERS_MEASURED_MAX) {
        let customer = usage.customer.to_string();
        metrics::gauge!("stoatwell_customer_used_cpu_millis", "customer" => customer.clone())
            .set(usage.used.cpu_millis as f64);
        metrics::gauge!("stoatwell_customer_cap_cpu_millis", "customer" => customer)
            .set(usage.cap.cpu_millis as f64);
    }
    let stalled = pool.tasks_without_wakeup();
    if let Some(first) = stalled.first() {
        tracing::error!(count = stalled.len(), first, "tasks without a pending wake-up");
    }
    metrics::gauge!("stoatwell_tasks_stalled").set(stalled.len() as f64);
    metrics::gauge!("stoatwell_jobs", "state" => "queued").set(counts.queued_jobs as f64);
    metrics::gauge!("stoatwell_jobs", "state" => "running").set(counts.running_jobs as f64);
    metrics::gauge!("stoatwell_jobs_unwritable").set(counts.unwritable_jobs as f64);
    metrics::gauge!("stoatwell_inbox_delay_ms").set(inbox_delay_ms as f64);
    metrics::gauge!("stoatwell_queued_messages").set(queued_messages as f64);
    metrics::gauge!("stoatwell_queued_steps").set(counts.queued_steps as f64);
    metrics::gauge!("stoatwell_steps_waiting_with_room").set(counts.steps_waiting_with_room as f64);
    metrics::gauge!("stoatwell_workers_age_ms").set(counts.workers_age_ms as f64);
    metrics::gauge!("stoatwell_oldest_write_ms").set(counts.oldest_write_ms as f64);
    metrics::gauge!("stoatwell_workers_open").set(counts.open_workers as f64);
    metrics::gauge!("stoatwell_workers_silent").set(counts.silent_workers as f64);
    metrics::gauge!("stoatwell_free_cpu_millis").set(counts.free_cpu_millis as f64);
    metrics::gauge!("stoatwell_used_cpu_millis").set(counts.used_cpu_millis as f64);
    let by_phase = [
        ("without ticket", counts.ticketless_cpu_millis),
        ("unconfirmed", counts.unconfirmed_cpu_millis),
        ("stopping", counts.stopping_cpu_millis),
    ];
    for (phase, cpu_millis) in by_phase {
        metrics::gauge!("stoatwell_idle_allocated_cpu_millis", "phase" => phase)
            .set(cpu_millis as f64);
    }
    metrics::gauge!("stoatwell_advisor_proxies").set(advisor.proxies as f64);
    metrics::gauge!("stoatwell_advisor_proxies_excluded").set(advisor.excluded_proxies as f64);
    metrics::gauge!("stoatwell_advisor_queue").set(advisor.queued as f64);
    metrics::gauge!("stoatwell_advisor_queue_age_ms").set(advisor.queue_age_ms as f64);
}
