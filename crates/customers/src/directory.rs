//! The customers of one version of the manifest.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;

use crate::key::KeyHash;

/// Maximum length of a key in bytes; longer ones are rejected without hashing them.
const KEY_BYTES_MAX: usize = 512;

/// A customer of the pool, as listed in the manifest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// The name, unique within a manifest.
    pub name: CustomerName,
    /// Relative share of a full pool, and the number of jobs per second that the customer
    /// may expect to be served.
    pub weight: f64,
    /// Maximum total resources of its tasks over all workers; 0 means no limit on that
    /// resource.
    pub cap: Resources,
    /// Hashes of its API keys.
    pub keys: Vec<KeyHash>,
}

/// Reason why a list of customers is rejected.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum DirectoryError {
    /// customer {0}: named twice
    DuplicateName(CustomerName),
    /// customer {0}: the weight is not a number of 0 or more
    InvalidWeight(CustomerName),
    /// customers {0} and {1}: have a key in common
    SharedKey(CustomerName, CustomerName),
}

/// All errors in a list of customers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryErrors(pub Vec<DirectoryError>);

impl fmt::Display for DirectoryErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{error}")?;
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
    /// Indices into `customers` by key.
    places: HashMap<KeyHash, usize>,
}

impl Directory {
    /// Indexes customers by their keys, or returns all errors in the list.
    pub fn new(customers: Vec<Customer>) -> Result<Self, DirectoryErrors> {
        let key_count = customers.iter().map(|customer| customer.keys.len()).sum();
        let mut places: HashMap<KeyHash, usize> = HashMap::with_capacity(key_count);
        let mut names = HashSet::new();
        let mut errors = Vec::new();
        for (index, customer) in customers.iter().enumerate() {
            if !names.insert(&customer.name) {
                errors.push(DirectoryError::DuplicateName(customer.name.clone()));
            }
            if !customer.weight.is_finite() || customer.weight < 0.0 {
                errors.push(DirectoryError::InvalidWeight(customer.name.clone()));
            }
            for key in &customer.keys {
                let first = *places.entry(*key).or_insert(index);
                if first != index {
                    let first = customers[first].name.clone();
                    errors.push(DirectoryError::SharedKey(first, customer.name.clone()));
                }
            }
        }
        if errors.is_empty() {
            Ok(Self { customers, places })
        } else {
            Err(DirectoryErrors(errors))
        }
    }

    /// Finds the customer to which a key belongs.
    pub fn find(&self, key: &str) -> Option<&Customer> {
        if key.len() > KEY_BYTES_MAX {
            return None;
        }
        let index = self.places.get(&KeyHash::of(key))?;
        self.customers.get(*index)
    }

    /// All customers, in the order of the manifest.
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
