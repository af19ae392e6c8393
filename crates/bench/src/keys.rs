//! Measures the check of API keys: lookup time and the memory of the directory.

use std::time::Instant;

use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use stoatwell_customers::Customer;
use stoatwell_customers::Directory;
use stoatwell_customers::KeyHash;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;

use crate::slopes::resident_kib;

/// Customers in the directory.
const CUSTOMERS: usize = 10_000;
const KEYS_PER_CUSTOMER: usize = 3;
/// Timed lookups, half of them of known keys.
const LOOKUPS: usize = 200_000;
/// Upper limit of the histogram, in nanoseconds; longer times are recorded as this.
const MAX_RECORDED_NS: u64 = 1_000_000_000;

/// Prints the lookup time among 30,000 keys and the memory that they occupy.
pub(crate) fn run() -> Result<(), String> {
    let mut rng = Pcg64::seed_from_u64(7);
    let known: Vec<String> = (0..CUSTOMERS * KEYS_PER_CUSTOMER)
        .map(|_| format!("{:020x}", rng.random::<u64>()))
        .collect();
    let before_kib = resident_kib()?;
    let mut customers = Vec::with_capacity(CUSTOMERS);
    for (number, keys) in known.chunks(KEYS_PER_CUSTOMER).enumerate() {
        let name = CustomerName::new(format!("customer-{number}"));
        let keys = keys.iter().map(|key| KeyHash::of(key)).collect();
        customers.push(Customer { name, weight: 1.0, cap: Resources::ZERO, keys });
    }
    let directory = Directory::new(customers).map_err(|mistakes| mistakes.to_string())?;
    let memory_kib = resident_kib()?.saturating_sub(before_kib);
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_NS, 3)
        .map_err(|error| error.to_string())?;
    let mut found = 0;
    for number in 0..LOOKUPS {
        let key = if number % 2 == 0 {
            known[rng.random_range(0..known.len())].clone()
        } else {
            format!("{:020x}", rng.random::<u64>())
        };
        let started = Instant::now();
        found += usize::from(directory.find(&key).is_some());
        times.saturating_record(started.elapsed().as_nanos() as u64);
    }
    println!("Check of a key among {} keys of {CUSTOMERS} customers\n", known.len());
    println!("| lookups | found | mean us | p50 us | p99 us | p99.9 us | memory, MB |");
    println!("|---|---|---|---|---|---|---|");
    let to_us = |ns: u64| ns as f64 / 1_000.0;
    println!(
        "| {LOOKUPS} | {found} | {:.2} | {:.2} | {:.2} | {:.2} | {:.1} |",
        times.mean() / 1_000.0,
        to_us(times.value_at_quantile(0.5)),
        to_us(times.value_at_quantile(0.99)),
        to_us(times.value_at_quantile(0.999)),
        memory_kib as f64 / 1_024.0,
    );
    Ok(())
}
