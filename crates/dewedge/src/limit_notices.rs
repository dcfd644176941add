//! Limits that servers have named, as the VMs tell them to each other.
//!
//! A VM that sends to a server seldom would otherwise learn only with its next
//! request that the server's limit was raised or withdrawn. A notice carries the
//! age of what it says, because the clocks of the VMs differ.

use std::time::Duration;

use crate::clock::Moment;
use crate::policy::rate_limit::RATE_STEPS;

/// First bytes of a datagram with notices.
pub(crate) const LIMIT_MAGIC: [u8; 4] = *b"DWL1";

/// Length of a notice: server, limit, age.
const NOTICE_BYTES: usize = 16;

/// Maximum notices of a datagram, so that it fits in a packet.
const MAX_NOTICES: usize = 80;

/// Value of the limit that stands for none.
const NO_LIMIT: u32 = u32::MAX;

/// What a server said about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LimitNotice {
    /// Hash of the server's id.
    pub(crate) server: u64,
    /// Its limit in requests a second, if it names one.
    pub(crate) rate: Option<f64>,
    /// When it said so.
    pub(crate) heard_at: Moment,
}

/// Encodes as many notices as fit in a datagram.
pub(crate) fn encode_notices(notices: &[LimitNotice], now: Moment) -> Vec<u8> {
    let mut bytes = LIMIT_MAGIC.to_vec();
    for notice in notices.iter().take(MAX_NOTICES) {
        let rate = notice.rate.map_or(NO_LIMIT, |rate| {
            ((rate * RATE_STEPS).round() as u32).min(NO_LIMIT - 1)
        });
        let age = now.saturating_sub(notice.heard_at).as_millis();
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        bytes.extend_from_slice(&notice.server.to_be_bytes());
        bytes.extend_from_slice(&rate.to_be_bytes());
        bytes.extend_from_slice(&age.to_be_bytes());
    }
    bytes
}

/// Decodes the notices after the first bytes of a datagram; `None` if it is
/// malformed.
pub(crate) fn decode_notices(bytes: &[u8], now: Moment) -> Option<Vec<LimitNotice>> {
    if !bytes.len().is_multiple_of(NOTICE_BYTES) {
        return None;
    }
    bytes
        .chunks_exact(NOTICE_BYTES)
        .map(|entry| {
            let rate = u32::from_be_bytes(entry[8..12].try_into().ok()?);
            let age = u32::from_be_bytes(entry[12..].try_into().ok()?);
            Some(LimitNotice {
                server: u64::from_be_bytes(entry[..8].try_into().ok()?),
                rate: (rate != NO_LIMIT).then(|| f64::from(rate) / RATE_STEPS),
                heard_at: now.saturating_sub(Duration::from_millis(u64::from(age))),
            })
        })
        .collect()
}
