//! The customers of one version of the manifest.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;

use crate::key::KeyHash;

/// Longest key, in bytes; what is longer is not even hashed.
const KEY_BYTES_MAX: usize = 512;

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: CustomerName,
    /// Its share of a full pool, and the jobs a second that it may expect to be served.
    pub weight: f64,
    /// What its tasks may take on all workers together; 0 of a resource is no limit.
    pub cap: Resources,
    /// Its keys.
    pub keys: Vec<KeyHash>,
}

/// Why a list of customers is not taken.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum DirectoryError {
    /// customer {0}: named twice
    DuplicateName(CustomerName),
    /// customer {0}: the weight is not a number of 0 or more
    InvalidWeight(CustomerName),
    /// customers {0} and {1}: have a key in common
    SharedKey(CustomerName, CustomerName),
}

/// Every mistake in a list of customers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryErrors(pub Vec<DirectoryError>);

impl fmt::Display for DirectoryErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, mistake) in self.0.iter().enumerate() {
            let between = if number == 0 { "" } else { "; " };
            write!(f, "{between}{mistake}")?;
        }
        Ok(())
    }
}

impl std::error::Error for DirectoryErrors {}

/// Finds customers by their keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Vec<Customer>", into = "Vec<Customer>")]
pub struct Directory {
    customers: Vec<Customer>,
    /// Places in `customers` by their keys.
    places: HashMap<KeyHash, usize>,
}

impl Directory {
    /// Files customers, or finds every mistake in their list.
    pub fn new(customers: Vec<Customer>) -> Result<Self, DirectoryErrors> {
        let keys = customers.iter().map(|customer| customer.keys.len()).sum();
        let mut places: HashMap<KeyHash, usize> = HashMap::with_capacity(keys);
        let mut names = HashSet::new();
        let mut mistakes = Vec::new();
        for (place, customer) in customers.iter().enumerate() {
            if !names.insert(&customer.name) {
                mistakes.push(DirectoryError::DuplicateName(customer.name.clone()));
            }
            if !customer.weight.is_finite() || customer.weight < 0.0 {
                mistakes.push(DirectoryError::InvalidWeight(customer.name.clone()));
            }
            for key in &customer.keys {
                let first = *places.entry(*key).or_insert(place);
                if first != place {
                    let first = customers[first].name.clone();
                    mistakes.push(DirectoryError::SharedKey(first, customer.name.clone()));
                }
            }
        }
        if mistakes.is_empty() {
            Ok(Self { customers, places })
        } else {
            Err(DirectoryErrors(mistakes))
        }
    }

    /// The customer that a key belongs to.
    pub fn find(&self, key: &str) -> Option<&Customer> {
        if key.len() > KEY_BYTES_MAX {
            return None;
        }
        let place = self.places.get(&KeyHash::of(key))?;
        self.customers.get(*place)
    }

    /// All customers.
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }
}

impl TryFrom<Vec<Customer>> for Directory {
    type Error = DirectoryErrors;

    fn try_from(customers: Vec<Customer>) -> Result<Self, DirectoryErrors> {
        Self::new(customers)
    }
}

impl From<Directory> for Vec<Customer> {
    fn from(directory: Directory) -> Self {
        directory.customers
    }
}
