//! Estimates of what an entry's tasks actually use, from delayed usage reports.
//!
//! Declared demands are off by a factor of three in either direction. For some
//! entries usage is uniform while the declarations vary; for others usage is
//! proportional to the declaration. The estimator therefore tracks both the
//! absolute usage and its ratio to the declared demand, and uses the one that
//! varies less. Samples are kept in two windows, so that an increase takes effect
//! at once and a decrease only after a whole window.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use stoatwell_model::EntryName;
use stoatwell_model::JobId;
use stoatwell_model::Resources;

/// Samples required before an estimate is used.
const SAMPLES_MIN: u64 = 20;
/// Maximum number of consecutive samples taken from one job.
const SAMPLES_PER_JOB: u32 = 2;
/// Samples after which the current window replaces the previous one.
const WINDOW_SAMPLES: u64 = 400;
/// Percentile of the samples that an estimated demand covers.
const COVER_PERCENTILE: f64 = 99.0;
/// Upper limit of the margin on top of that percentile, in thousandths. Below the
/// limit, the margin is the relative spread of the samples.
const MARGIN_PERMILLE_MAX: f64 = 50.0;
/// An estimated demand never falls below the declared one divided by this.
const FLOOR_DIVISOR: u64 = 20;
const PERMILLE: u64 = 1_000;
const MEMORY_UNIT_BYTES: u64 = 1 << 20;
const HISTOGRAM_DIGITS: u8 = 2;

/// Usage statistics of all entries.
#[derive(Debug, Default)]
pub struct UsageEstimator {
    entries: HashMap<EntryName, EntryUsage>,
}

#[derive(Debug, Default)]
struct EntryUsage {
    /// The job of the latest samples, and how many samples in a row it gave.
    last_job: Option<(JobId, u32)>,
    cpu: ResourceUsage,
    memory: ResourceUsage,
    run_ms: WindowedHistogram,
}

/// Usage of one resource by one entry.
#[derive(Debug, Default)]
struct ResourceUsage {
    amount: WindowedHistogram,
    /// Used per declared amount, in thousandths.
    ratio: WindowedHistogram,
}

#[derive(Debug, Default)]
struct WindowedHistogram {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
}

impl UsageEstimator {
    /// Records the peak usage of a task, unless its job has given enough samples in a row.
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
        let usage = self.entries.entry(entry.clone()).or_default();
        if !usage.accepts_sample_of(job) {
            return;
        }
        usage.cpu.record(declared.cpu_millis, used.cpu_millis);
        let units = |bytes: u64| bytes.div_ceil(MEMORY_UNIT_BYTES);
        usage.memory.record(units(declared.memory_bytes), units(used.memory_bytes));
    }

    /// Records the run time of a task.
    pub fn record_run(&mut self, entry: &EntryName, run_ms: u64) {
        self.entries.entry(entry.clone()).or_default().run_ms.record(run_ms);
    }

    /// Estimated demand of a task; the declared demand until there are enough samples.
    pub fn demand(&self, entry: &EntryName, declared: &Resources) -> Resources {
        let Some(usage) = self.entries.get(entry) else {
            return *declared;
        };
        let declared_units = declared.memory_bytes.div_ceil(MEMORY_UNIT_BYTES);
        let memory_bytes = match usage.memory.demand(declared_units) {
            Some(units) => units * MEMORY_UNIT_BYTES,
            None => declared.memory_bytes,
        };
        Resources {
            cpu_millis: usage.cpu.demand(declared.cpu_millis).unwrap_or(declared.cpu_millis),
            memory_bytes,
            accelerators: declared.accelerators,
        }
    }

    /// 99th percentile of the run times of an entry's tasks; `None` until there are enough samples.
    pub fn run_ms(&self, entry: &EntryName) -> Option<u64> {
        self.entries.get(entry)?.run_ms.percentile(COVER_PERCENTILE)
    }

    /// Number of entries for which anything has been recorded.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing has been recorded yet.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl EntryUsage {
    /// Counts a sample and returns whether it may be recorded. The tasks of one job
    /// are alike: if all of them counted, a single job would stand for the whole
    /// entry, and the next job would get too little.
    fn accepts_sample_of(&mut self, job: JobId) -> bool {
        let samples = match self.last_job {
            Some((last, samples)) if last == job => samples + 1,
            _ => 1,
        };
        self.last_job = Some((job, samples));
        samples <= SAMPLES_PER_JOB
    }
}

impl ResourceUsage {
    fn record(&mut self, declared: u64, used: u64) {
        self.amount.record(used);
        self.ratio.record(used * PERMILLE / declared.max(1));
    }

    fn demand(&self, declared: u64) -> Option<u64> {
        let by_amount = self.amount.percentile(COVER_PERCENTILE)?;
        let by_ratio = self.ratio.percentile(COVER_PERCENTILE)? * declared / PERMILLE;
        let (amount_spread, ratio_spread) = (self.amount.spread(), self.ratio.spread());
        let estimate = if amount_spread <= ratio_spread { by_amount } else { by_ratio };
        let spread_permille = (amount_spread.min(ratio_spread) - 1.0) * PERMILLE as f64;
        let margin_permille = spread_permille.clamp(0.0, MARGIN_PERMILLE_MAX).ceil() as u64;
        let with_margin = estimate * (PERMILLE + margin_permille) / PERMILLE;
        Some(with_margin.max(declared / FLOOR_DIVISOR).max(1))
    }
}

impl WindowedHistogram {
    fn record(&mut self, value: u64) {
        let current = self.current.get_or_insert_with(new_histogram);
        // `record` resizes the histogram; `saturating_record` would clip large values.
        let recorded = current.record(value.max(1));
        debug_assert!(recorded.is_ok(), "the histogram resizes itself for any value");
        if current.len() >= WINDOW_SAMPLES {
            self.previous = self.current.take();
        }
    }

    /// The larger of both windows' percentiles; `None` until there are enough samples.
    fn percentile(&self, percentile: f64) -> Option<u64> {
        let windows = [&self.current, &self.previous];
        let samples: u64 =
            windows.iter().filter_map(|window| window.as_ref()).map(Histogram::len).sum();
        if samples < SAMPLES_MIN {
            return None;
        }
        let values = windows.into_iter().flatten();
        values.map(|histogram| histogram.value_at_percentile(percentile)).max()
    }

    /// Ratio of the covered percentile to the median; 1.0 if the samples do not vary.
    fn spread(&self) -> f64 {
        let (Some(high), Some(median)) = (self.percentile(COVER_PERCENTILE), self.percentile(50.0))
        else {
            return f64::INFINITY;
        };
        high as f64 / median.max(1) as f64
    }
}

fn new_histogram() -> Histogram<u32> {
    match Histogram::new(HISTOGRAM_DIGITS) {
        Ok(mut histogram) => {
            histogram.auto(true);
            histogram
        }
        Err(error) => unreachable!("{HISTOGRAM_DIGITS} significant digits are supported: {error}"),
    }
}
