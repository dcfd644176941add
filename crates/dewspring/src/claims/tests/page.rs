//! Tests of a page and its stored form.

use super::super::messages::{RecordedBody, RecordedOutcome};
use super::super::page::{ClaimState, LedgerClaim, LedgerPage, MAX_CLAIM_BYTES};
use super::{key, nonce};
use crate::store::MAX_VALUE_BYTES;

fn claim(serial: u64, created_minute: u64) -> LedgerClaim {
    LedgerClaim {
        nonce: nonce("vm-1", serial),
        fingerprint: u64::MAX,
        created_minute,
        state: ClaimState::Claimed,
    }
}

#[test]
fn round_trips_through_the_stored_form() {
    let mut page = LedgerPage::default();
    page.prune(4);
    page.insert(key(1), claim(1, 5));
    page.insert(key(2), claim(2, 6));
    page.insert(key(3), claim(3, 7));
    page.record(key(2), &RecordedOutcome::new(201, "text/plain", b"\0paid"));
    page.record(key(3), &RecordedOutcome::new(500, "text/plain", &[0; 4096]));
    let mut read = LedgerPage::decode(&page.encode()).expect("a valid page");
    page.prune(0);
    read.prune(0);
    assert_eq!(read, page);
}

#[test]
fn prunes_by_age_and_never_lowers_the_cutoff() {
    let mut page = LedgerPage::default();
    page.insert(key(1), claim(1, 9));
    page.insert(key(2), claim(2, 10));
    page.prune(10);
    assert_eq!(page.claim(key(1)), None);
    assert!(page.claim(key(2)).is_some());
    page.prune(3);
    assert_eq!(page.pruned_before(), 10);
}

#[test]
fn rejects_malformed_pages() {
    let owner = r#""owners":[{"vm":"a","boot":1}]"#;
    let entry = r#"{"k":"AAAAAAAAAAAAAAAAAAAAAA==","f":1,"w":0,"n":1,"m":1}"#;
    let cases = [
        String::new(),
        "[]".to_owned(),
        r#"{"owners":[],"claims":[]}"#.to_owned(),
        format!(r#"{{"pruned_before":0,"owners":[],"claims":[{entry}]}}"#),
        format!(r#"{{"pruned_before":0,{owner},"claims":[{entry},{entry}]}}"#),
        format!(r#"{{"pruned_before":0,{owner},"claims":[{{"k":"AA=="}}]}}"#),
        format!(r#"{{"pruned_before":0,{owner},"claims":[],"later":1}}"#),
    ];
    for case in cases {
        assert!(LedgerPage::decode(case.as_bytes()).is_err(), "{case}");
    }
    let valid = format!(r#"{{"pruned_before":0,{owner},"claims":[{entry}]}}"#);
    LedgerPage::decode(valid.as_bytes()).expect("a valid page");
}

#[test]
fn fits_the_largest_value_of_the_store() {
    let mut page = LedgerPage::default();
    page.prune(0);
    let owner = nonce("vm-1", 0).owner;
    let outcome = RecordedOutcome::new(u16::MAX, "\0", &[b'x'; 512]);
    let mut count = 0;
    while page.has_capacity(&owner) {
        let serial = u64::MAX - count as u64;
        page.insert(key(count), claim(serial, u64::MAX));
        page.record(key(count), &outcome);
        count += 1;
        if count % 1000 == 0 {
            page.prune(0);
        }
    }
    let whole = (0..count)
        .filter_map(|number| page.claim(key(number)))
        .filter(|claim| match &claim.state {
            ClaimState::Recorded(outcome) => matches!(outcome.body, RecordedBody::Whole { .. }),
            ClaimState::Claimed => false,
        })
        .count();
    let bytes = page.encode().len();
    println!("{count} claims, {whole} with bodies, {bytes} bytes");
    assert!(bytes <= MAX_VALUE_BYTES, "{bytes} bytes");
    assert!(whole > 0 && whole < count);
    assert!(count > MAX_VALUE_BYTES / 2 / MAX_CLAIM_BYTES);
}
