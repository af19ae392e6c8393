//! Keys find their customers and stay secret.

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
    let directory = Directory::new(all).expect("sound");
    let name = |key| directory.find(key).map(|customer| customer.name.as_str());
    assert_eq!((name("k1"), name("k2"), name("k3")), (Some("a"), Some("a"), Some("b")));
    for unknown in ["", "k", "k11", "K1", "k1 ", "a"] {
        assert_eq!(name(unknown), None, "{unknown:?}");
    }
    assert_eq!(name(&"k".repeat(100_000)), None);
}

#[test]
fn every_mistake_in_a_list_is_told() {
    let light = Customer { weight: f64::NAN, ..customer("b", &["k1"]) };
    let all = vec![customer("a", &["k1"]), customer("a", &["k2"]), light];
    let mistakes = Directory::new(all).expect_err("mistakes").0;
    let [a, b] = ["a", "b"].map(CustomerName::new);
    let expected = [
        DirectoryError::DuplicateName(a.clone()),
        DirectoryError::InvalidWeight(b.clone()),
        DirectoryError::SharedKey(a, b),
    ];
    assert_eq!(mistakes, expected);
}

#[test]
fn a_customer_that_names_a_key_twice_is_sound() {
    assert!(Directory::new(vec![customer("a", &["k1", "k1"])]).is_ok());
}

#[test]
fn the_header_may_be_written_in_odd_ways() {
    for odd in ["Bearer k1", "bearer k1", "BEARER  k1 "] {
        assert_eq!(bearer_key(odd), Some("k1"), "{odd:?}");
    }
    for wrong in ["", "Bearer", "Bearer ", "k1", "Basic k1", "Bearerk1"] {
        assert_eq!(bearer_key(wrong), None, "{wrong:?}");
    }
}

#[test]
fn a_hash_is_read_from_its_digits_in_either_case() {
    let digits = "F52FBD32B2B3B86FF88EF6C490628285F482AF15DDCB29541F94BCF526A3F6C7";
    let hash: KeyHash = digits.parse().expect("64 digits");
    assert_eq!(hash, digits.to_lowercase().parse().expect("64 digits"));
    for wrong in ["", "f5", &digits[1..], &digits.replace('F', "G")] {
        assert!(wrong.parse::<KeyHash>().is_err(), "{wrong:?}");
    }
}

/// Guards against keys in logs: neither a hash nor what holds one shows more than a few bytes.
#[test]
fn what_is_written_out_of_a_key_does_not_tell_it() {
    let all = vec![customer("a", &["secret"])];
    let shown = format!("{all:?}");
    assert!(!shown.contains("secret"));
    let full: String = serde_json::to_string(&KeyHash::of("secret")).expect("a list of numbers");
    assert!(!shown.contains(&full));
    assert_eq!(KeyHash::of("secret").fingerprint().len(), 8);
}

#[test]
fn a_directory_survives_the_way_to_another_daemon() {
    let all = vec![customer("a", &["k1"]), customer("b", &["k2"])];
    let directory = Directory::new(all).expect("sound");
    let text = serde_json::to_string(&directory).expect("it is written");
    let back: Directory = serde_json::from_str(&text).expect("it is read");
    assert_eq!(back.find("k2").map(|customer| customer.name.as_str()), Some("b"));
}
