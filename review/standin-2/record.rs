//! The record of what was sent, answered and run.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
    /// When the last run of each task has ended.
    ends: Mutex<HashMap<String, Instant>>,
    /// The tasks of which a run has ended `done`.
    done: Mutex<HashSet<String>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Self { file, began: Instant::now(), ends: Mutex::default(), done: Mutex::default() }
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
}
