//! The format of notices about crashes.

use std::time::Duration;

use dewedge::crash_notices::{
    CRASH_MAGIC, CrashNotice, decode_notices, encode_notices, report_notices,
};
use dewguard::{CrashCause, CrashReport, CrashSuspect};
use quickcheck::QuickCheck;

/// Maximum bytes of a datagram that isn't fragmented.
const PACKET_BYTES: usize = 1472;

const NOW: Duration = Duration::from_secs(100);

fn report(suspects: &[(u64, Vec<u64>)]) -> CrashReport {
    let suspects = suspects
        .iter()
        .map(|(request, parts)| CrashSuspect {
            request: *request,
            sent: Duration::from_millis(98_700),
            parts: parts.iter().copied().take(12).collect(),
        })
        .collect();
    CrashReport {
        server: 5,
        at: Duration::from_secs(99),
        suspects,
    }
}

fn decode_all(datagrams: &[Vec<u8>]) -> Vec<CrashNotice> {
    let notices = datagrams.iter().map(|datagram| {
        let rest = datagram
            .strip_prefix(&CRASH_MAGIC)
            .expect("the first bytes");
        decode_notices(rest, NOW).expect("a datagram can be read")
    });
    notices.flatten().collect()
}

#[test]
fn notices_are_read_as_they_were_written() {
    fn property(suspects: Vec<(u64, Vec<u64>)>, parts: Vec<u64>) -> bool {
        let report = report(&suspects);
        let mut notices = report_notices(&report);
        for part in parts {
            let cause = CrashCause::Part(part);
            notices.push(CrashNotice::Blocked(cause, Duration::from_secs(98)));
            let cause = CrashCause::Request(part);
            notices.push(CrashNotice::Survived(cause, Duration::from_millis(97_250)));
        }
        let datagrams = encode_notices(&notices, NOW);
        let fit = datagrams
            .iter()
            .all(|datagram| datagram.len() <= PACKET_BYTES);
        fit && decode_all(&datagrams) == notices
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u64, Vec<u64>)>, Vec<u64>) -> bool);
}

#[test]
fn a_malformed_datagram_is_rejected() {
    let datagrams = encode_notices(&report_notices(&report(&[(1, vec![2, 3])])), NOW);
    let rest = &datagrams[0][CRASH_MAGIC.len()..];
    for length in 1..rest.len() {
        assert_eq!(decode_notices(&rest[..length], NOW), None, "{length} bytes");
    }
    fn property(bytes: Vec<u8>) -> bool {
        // It doesn't panic, and reads no more than there is.
        decode_notices(&bytes, NOW).is_none_or(|notices| notices.len() <= bytes.len())
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u8>) -> bool);
}
