//! The record of what was sent, answered and run.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
    /// When the last run of each task has ended.
    ends: Mutex<HashMap<String, Instant>>,
    /// The tasks of which a run has ended `done`.
    done: Mutex<HashSet<String>>,
    /// Those of which such an end was taken note of.
    noted: Mutex<HashSet<String>>,
    /// How many runs were started after that.
    again: AtomicU64,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Self {
            file,
            began: Instant::now(),
            ends: Mutex::default(),
            done: Mutex::default(),
            noted: Mutex::default(),
            again: AtomicU64::new(0),
        }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().expect("no panic"), "{seconds:9.3} {text}");
    }

    pub fn note_end(&self, task: &str, how: &str) {
        if how == "done" {
            self.done.lock().expect("no panic").insert(task.to_owned());
        }
        self.ends.lock().expect("no panic").insert(task.to_owned(), Instant::now());
    }

    /// When the last run of a task has ended.
    pub fn last_end(&self, task: &str) -> Option<Instant> {
        self.ends.lock().expect("no panic").get(task).copied()
    }

    /// How many tasks have ended `done`, by the beginning of their names.
    pub fn done(&self, prefix: &str) -> usize {
        let done = self.done.lock().expect("no panic");
        done.iter().filter(|task| task.starts_with(prefix)).count()
    }

    /// The end of a run was taken note of.
    pub fn note_taken(&self, task: &str, how: &str) {
        if how == "done" {
            self.noted.lock().expect("no panic").insert(task.to_owned());
        }
    }

    /// A run starts.
    pub fn note_start(&self, minion: &str, task: &str, run: u64) {
        let is_again = self.noted.lock().expect("no panic").contains(task);
        let how = if is_again { " AGAIN" } else { "" };
        self.line(&format!("{minion} starts {task} run {run}{how}"));
        self.again.fetch_add(u64::from(is_again), Ordering::Relaxed);
    }

    /// How many runs were started after an end `done` of their task had been taken note of.
    pub fn again(&self) -> u64 {
        self.again.load(Ordering::Relaxed)
    }
}
