//! Lookup of customers by key, and secrecy of keys.

use stoatwell_customers::Customer;
use stoatwell_customers::Directory;
use stoatwell_customers::DirectoryError;
use stoatwell_customers::KeyHash;
use stoatwell_customers::bearer_key;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;

fn customer(name: &str, keys: &[&str]) -> Customer {
    Customer {
        name: CustomerName::new(name),
        weight: 2.0,
        cap: Resources::ZERO,
        keys: keys.iter().map(|key| KeyHash::of(key)).collect(),
    }
}

#[test]
fn a_key_finds_its_customer_and_no_other() {
    let all = vec![customer("a", &["k1", "k2"]), customer("b", &["k3"]), customer("c", &[])];
    let directory = Directory::new(all).expect("the list is valid");
    let name = |key| directory.find(key).map(|customer| customer.name.as_str());
    assert_eq!((name("k1"), name("k2"), name("k3")), (Some("a"), Some("a"), Some("b")));
    for unknown in ["", "k", "k11", "K1", "k1 ", "a"] {
        assert_eq!(name(unknown), None, "{unknown:?}");
    }
    assert_eq!(name(&"k".repeat(100_000)), None);
}

#[test]
fn every_error_in_a_list_is_reported() {
    let invalid_weight = Customer { weight: f64::NAN, ..customer("b", &["k1"]) };
    let all = vec![customer("a", &["k1"]), customer("a", &["k2"]), invalid_weight];
    let errors = Directory::new(all).expect_err("the list has errors").0;
    let [a, b] = ["a", "b"].map(CustomerName::new);
    let expected = [
        DirectoryError::DuplicateName(a.clone()),
        DirectoryError::InvalidWeight(b.clone()),
        DirectoryError::SharedKey(a, b),
    ];
    assert_eq!(errors, expected);
}

#[test]
fn a_customer_may_list_the_same_key_twice() {
    assert!(Directory::new(vec![customer("a", &["k1", "k1"])]).is_ok());
}

#[test]
fn the_header_may_vary_in_case_and_spacing() {
    for accepted in ["Bearer k1", "bearer k1", "BEARER  k1 "] {
        assert_eq!(bearer_key(accepted), Some("k1"), "{accepted:?}");
    }
    for wrong in ["", "Bearer", "Bearer ", "k1", "Basic k1", "Bearerk1"] {
        assert_eq!(bearer_key(wrong), None, "{wrong:?}");
    }
}

#[test]
fn a_hash_is_parsed_from_digits_in_either_case() {
    let digits = "F52FBD32B2B3B86FF88EF6C490628285F482AF15DDCB29541F94BCF526A3F6C7";
    let hash: KeyHash = digits.parse().expect("64 digits");
    assert_eq!(hash, digits.to_lowercase().parse().expect("64 digits"));
    for wrong in ["", "f5", &digits[1..], &digits.replace('F', "G")] {
        assert!(wrong.parse::<KeyHash>().is_err(), "{wrong:?}");
    }
}

/// Guards against keys in logs: neither the `Debug` output of a customer nor a fingerprint
/// contains the key or its full hash.
#[test]
fn logged_forms_of_a_key_do_not_reveal_it() {
    let all = vec![customer("a", &["secret"])];
    let debug_output = format!("{all:?}");
    assert!(!debug_output.contains("secret"));
    let full: String = serde_json::to_string(&KeyHash::of("secret")).expect("a list of numbers");
    assert!(!debug_output.contains(&full));
    assert_eq!(KeyHash::of("secret").fingerprint().len(), 8);
}

#[test]
fn a_directory_survives_serialisation() {
    let all = vec![customer("a", &["k1"]), customer("b", &["k2"])];
    let directory = Directory::new(all).expect("the list is valid");
    let text = serde_json::to_string(&directory).expect("the directory serialises");
    let back: Directory = serde_json::from_str(&text).expect("the directory deserialises");
    assert_eq!(back.find("k2").map(|customer| customer.name.as_str()), Some("b"));
}
