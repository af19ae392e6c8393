//! What the work of an entry really uses, from usage reports that lag.
//!
//! Declared sizes are off by a factor of three either way. Sometimes the work
//! is alike and the declarations scatter, sometimes the work follows its
//! declaration by a constant factor; so both the amount and its ratio to the
//! declaration are kept, and the one that scatters less is used. Two windows
//! let growth show at once and shrinkage only after a whole window.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use stoatwell_model::EntryName;
use stoatwell_model::JobId;
use stoatwell_model::Resources;

/// Samples before anything learned is used.
const SAMPLES_MIN: u64 = 20;
/// Samples in a row that one job gives.
const SAMPLES_PER_JOB: u32 = 2;
/// Samples after which the older window is dropped.
const WINDOW_SAMPLES: u64 = 400;
/// The percentile that a demand covers.
const COVER_PERCENTILE: f64 = 99.0;
/// The most that is set aside beyond it, in thousandths; work that hardly
/// scatters gets as little more as it scatters.
const MARGIN_PERMILLE_MAX: f64 = 50.0;
/// A learned demand never falls below this part of the declared one.
const FLOOR_DIVISOR: u64 = 20;
const PERMILLE: u64 = 1_000;
const MEMORY_UNIT_BYTES: u64 = 1 << 20;
const DIGITS: u8 = 2;

/// What is known of every entry's use.
#[derive(Debug, Default)]
pub struct Learned {
    entries: HashMap<EntryName, EntryUse>,
}

#[derive(Debug, Default)]
struct EntryUse {
    /// The job that gave the last samples, and how many of them.
    last: Option<(JobId, u32)>,
    cpu: Quantity,
    memory: Quantity,
    run_ms: Windows,
}

/// One resource of one entry.
#[derive(Debug, Default)]
struct Quantity {
    amount: Windows,
    ratio: Windows,
}

#[derive(Debug, Default)]
struct Windows {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
}

impl Learned {
    /// Takes the most that a finished or long-running task was seen to use.
    pub fn record(
        &mut self,
        entry: &EntryName,
        job: JobId,
        declared: &Resources,
        used: &Resources,
    ) {
        if used.is_zero() {
            return;
        }
        let found = self.entries.entry(entry.clone()).or_default();
        if !found.is_fresh(job) {
            return;
        }
        found.cpu.record(declared.cpu_millis, used.cpu_millis);
        let unit = |bytes: u64| bytes.div_ceil(MEMORY_UNIT_BYTES);
        found.memory.record(unit(declared.memory_bytes), unit(used.memory_bytes));
    }

    /// Takes how long a task ran.
    pub fn record_run(&mut self, entry: &EntryName, run_ms: u64) {
        self.entries.entry(entry.clone()).or_default().run_ms.record(run_ms);
    }

    /// What to set aside for a task; the declared demand until enough is known.
    pub fn demand(&self, entry: &EntryName, declared: &Resources) -> Resources {
        let Some(found) = self.entries.get(entry) else {
            return *declared;
        };
        let unit = declared.memory_bytes.div_ceil(MEMORY_UNIT_BYTES);
        let memory_bytes = match found.memory.demand(unit) {
            Some(units) => units * MEMORY_UNIT_BYTES,
            None => declared.memory_bytes,
        };
        Resources {
            cpu_millis: found.cpu.demand(declared.cpu_millis).unwrap_or(declared.cpu_millis),
            memory_bytes,
            accelerators: declared.accelerators,
        }
    }

    /// How long nearly all tasks of an entry run, where enough is known.
    pub fn run_ms(&self, entry: &EntryName) -> Option<u64> {
        self.entries.get(entry)?.run_ms.at(COVER_PERCENTILE)
    }

    /// How many entries something is known of.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is known yet.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl EntryUse {
    /// The tasks of one job are alike. Were they all counted, a single job would
    /// pass for the whole entry, and the next one would get too little.
    fn is_fresh(&mut self, job: JobId) -> bool {
        let seen = match self.last {
            Some((last, seen)) if last == job => seen + 1,
            _ => 1,
        };
        self.last = Some((job, seen));
        seen <= SAMPLES_PER_JOB
    }
}

impl Quantity {
    fn record(&mut self, declared: u64, used: u64) {
        self.amount.record(used);
        self.ratio.record(used * PERMILLE / declared.max(1));
    }

    fn demand(&self, declared: u64) -> Option<u64> {
        let by_amount = self.amount.at(COVER_PERCENTILE)?;
        let by_ratio = self.ratio.at(COVER_PERCENTILE)? * declared / PERMILLE;
        let (amount, ratio) = (self.amount.scatter(), self.ratio.scatter());
        let chosen = if amount <= ratio { by_amount } else { by_ratio };
        let beyond = (amount.min(ratio) - 1.0) * PERMILLE as f64;
        let margin_permille = beyond.clamp(0.0, MARGIN_PERMILLE_MAX).ceil() as u64;
        let covered = chosen * (PERMILLE + margin_permille) / PERMILLE;
        Some(covered.max(declared / FLOOR_DIVISOR).max(1))
    }
}

impl Windows {
    fn record(&mut self, value: u64) {
        let current = self.current.get_or_insert_with(new_histogram);
        // Recording grows the histogram; saturating would cut values off instead.
        let recorded = current.record(value.max(1));
        debug_assert!(recorded.is_ok(), "the histogram grows to any value");
        if current.len() >= WINDOW_SAMPLES {
            self.previous = self.current.take();
        }
    }

    fn at(&self, percentile: f64) -> Option<u64> {
        let windows = [&self.current, &self.previous];
        let samples: u64 =
            windows.iter().filter_map(|window| window.as_ref()).map(Histogram::len).sum();
        if samples < SAMPLES_MIN {
            return None;
        }
        let values = windows.into_iter().flatten();
        values.map(|histogram| histogram.value_at_percentile(percentile)).max()
    }

    /// How far the high values lie above the middle; 1.0 is not at all.
    fn scatter(&self) -> f64 {
        let (Some(high), Some(middle)) = (self.at(COVER_PERCENTILE), self.at(50.0)) else {
            return f64::INFINITY;
        };
        high as f64 / middle.max(1) as f64
    }
}

fn new_histogram() -> Histogram<u32> {
    match Histogram::new(DIGITS) {
        Ok(mut histogram) => {
            histogram.auto(true);
            histogram
        }
        Err(error) => unreachable!("{DIGITS} digits are allowed: {error}"),
    }
}
