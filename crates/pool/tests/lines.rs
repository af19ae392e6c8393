//! The log lines of decisions, by their fields.

mod world;

use std::collections::BTreeSet;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;
use tracing_subscriber::fmt::MakeWriter;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no panic").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Written {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Every line that is written while `play` runs.
fn lines(play: impl FnOnce()) -> Vec<Value> {
    let written = Written::default();
    let subscriber =
        tracing_subscriber::fmt().json().flatten_event(true).with_writer(written.clone()).finish();
    tracing::subscriber::with_default(subscriber, play);
    let bytes = written.0.lock().expect("no panic");
    let text = String::from_utf8(bytes.clone()).expect("UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

/// The fields of the first line with this message, but for those that each line has.
fn fields(lines: &[Value], message: &str) -> BTreeSet<String> {
    let line = lines.iter().find(|line| line["message"] == message);
    let line = line.unwrap_or_else(|| panic!("no line {message:?}"));
    let common = ["timestamp", "level", "target", "message"];
    let names = line.as_object().expect("an object").keys();
    names.filter(|name| !common.contains(&name.as_str())).cloned().collect()
}

fn assert_fields(lines: &[Value], message: &str, wanted: &[&str]) {
    let wanted: BTreeSet<String> = wanted.iter().map(|name| (*name).to_owned()).collect();
    assert_eq!(fields(lines, message), wanted, "{message}");
}

/// On call there are only logs. Each decision on a job's way says what it was made
/// of; with a field missing, a late job could not be told from a lost one.
#[test]
fn a_jobs_way_can_be_read_from_its_lines() {
    let lines = lines(|| {
        let mut world = World::new(3, 3, Faults::default());
        world.run(200);
        world.submit(1, job(queue(1), vec![step(2, 2_000, 300)]));
        world.run(1_500);
        world.submit(2, job(queue(1), vec![step(1, 2_000, 9_000)]));
        world.run(300);
        world.cancel(2);
        world.run(1_000);
    });
    assert_fields(&lines, "job accepted", &["job", "queue"]);
    assert_fields(&lines, "run placed", &["task", "run", "worker", "left_cpu_millis"]);
    assert_fields(&lines, "run ended", &["task", "run", "worker", "end", "took_ms"]);
    let settled = ["job", "queue", "outcome", "took_ms", "allowed_ms"];
    assert_fields(&lines, "job finished", &settled);
    assert_fields(&lines, "job cancelled", &["job"]);
}

/// The same for what is believed of workers: a run that came again has its cause
/// in these lines.
#[test]
fn what_happens_to_workers_can_be_read_from_lines() {
    let lines = lines(|| {
        let mut world = World::new(3, 3, Faults { lost_answers: 300, ..Faults::default() });
        world.run(200);
        world.submit(1, job(queue(1), vec![step(6, 2_000, 2_000)]));
        world.run(3_000);
        world.faults = Faults::default();
        world.submit(2, job(queue(1), vec![step(6, 2_000, 6_000)]));
        world.run(500);
        let names: Vec<_> = world.workers.keys().cloned().collect();
        world.crash(&names[0]);
        world.cut(&names[1], 60_000);
        world.run(9_000);
    });
    assert_fields(&lines, "worker listed", &["worker", "address"]);
    assert_fields(&lines, "hold established", &["worker", "active", "ended"]);
    assert_fields(&lines, "hold failed", &["worker", "error", "tasks"]);
    assert_fields(
        &lines,
        "start not confirmed; the run is stopped",
        &["task", "run", "worker", "reply"],
    );
    assert_fields(&lines, "worker restarted", &["worker", "life"]);
    assert_fields(&lines, "lease of an unreachable worker expired", &["worker"]);
    assert_fields(&lines, "run lost with its worker", &["task", "worker"]);
}
