//! What the VMs tell each other about crashes of servers.
//!
//! Notices carry ages, because the clocks of the VMs differ.

use std::time::Duration;

use dewguard::{CrashCause, CrashReport, CrashSuspect};

use crate::clock::Moment;

/// First bytes of a datagram with notices.
pub const CRASH_MAGIC: [u8; 4] = *b"DWC1";

/// Maximum bytes of a datagram, so that it fits in a packet.
const MAX_BYTES: usize = 1400;

/// Maximum suspects of a notice; a report with more takes several notices.
const MAX_SUSPECTS: usize = 12;

/// Maximum parts of a suspect; the later ones are left out.
const MAX_PARTS: usize = 12;

/// First byte of each kind of notice.
const CRASHED: u8 = 1;
const BLOCKED: u8 = 2;
const SURVIVED: u8 = 3;

/// First byte of each kind of cause.
const PART: u8 = 1;
const REQUEST: u8 = 2;

/// What a VM tells the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashNotice {
    /// A server crashed.
    Crashed(CrashReport),
    /// A cause is blocked since its last crash.
    Blocked(CrashCause, Moment),
    /// A server survived a run with a cause.
    Survived(CrashCause, Moment),
}

/// Splits a report into notices that fit in a datagram each.
pub fn report_notices(report: &CrashReport) -> Vec<CrashNotice> {
    let chunks = report.suspects.chunks(MAX_SUSPECTS);
    chunks
        .map(|suspects| {
            CrashNotice::Crashed(CrashReport {
                server: report.server,
                at: report.at,
                suspects: suspects.to_vec(),
            })
        })
        .collect()
}

/// Encodes notices into as few datagrams as possible.
pub fn encode_notices<'a>(
    notices: impl IntoIterator<Item = &'a CrashNotice>,
    now: Moment,
) -> Vec<Vec<u8>> {
    let mut datagrams: Vec<Vec<u8>> = Vec::new();
    for notice in notices {
        let bytes = encode_notice(notice, now);
        match datagrams.last_mut() {
            Some(last) if last.len() + bytes.len() <= MAX_BYTES => last.extend(bytes),
            _ => datagrams.push([&CRASH_MAGIC[..], &bytes].concat()),
        }
    }
    datagrams
}

fn encode_notice(notice: &CrashNotice, now: Moment) -> Vec<u8> {
    let mut bytes = Vec::new();
    match notice {
        CrashNotice::Crashed(report) => {
            bytes.push(CRASHED);
            bytes.extend(report.server.to_be_bytes());
            bytes.extend(age_ms(report.at, now).to_be_bytes());
            bytes.push(report.suspects.len().min(MAX_SUSPECTS) as u8);
            for suspect in report.suspects.iter().take(MAX_SUSPECTS) {
                bytes.extend(suspect.request.to_be_bytes());
                bytes.extend(age_ms(suspect.sent, now).to_be_bytes());
                bytes.push(suspect.parts.len().min(MAX_PARTS) as u8);
                for part in suspect.parts.iter().take(MAX_PARTS) {
                    bytes.extend(part.to_be_bytes());
                }
            }
        }
        CrashNotice::Blocked(cause, at) => push_cause(&mut bytes, BLOCKED, *cause, *at, now),
        CrashNotice::Survived(cause, at) => push_cause(&mut bytes, SURVIVED, *cause, *at, now),
    }
    bytes
}

fn push_cause(bytes: &mut Vec<u8>, kind: u8, cause: CrashCause, at: Moment, now: Moment) {
    let (cause_kind, hash) = match cause {
        CrashCause::Part(hash) => (PART, hash),
        CrashCause::Request(hash) => (REQUEST, hash),
    };
    bytes.extend([kind, cause_kind]);
    bytes.extend(hash.to_be_bytes());
    bytes.extend(age_ms(at, now).to_be_bytes());
}

fn age_ms(at: Moment, now: Moment) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}

/// Decodes the notices after the first bytes of a datagram; `None` if it is
/// malformed.
pub fn decode_notices(bytes: &[u8], now: Moment) -> Option<Vec<CrashNotice>> {
    let mut reader = NoticeReader { bytes, now };
    let mut notices = Vec::new();
    while !reader.bytes.is_empty() {
        notices.push(reader.notice()?);
    }
    Some(notices)
}

/// The rest of a datagram.
struct NoticeReader<'a> {
    bytes: &'a [u8],
    now: Moment,
}

impl NoticeReader<'_> {
    fn notice(&mut self) -> Option<CrashNotice> {
        match self.byte()? {
            CRASHED => Some(CrashNotice::Crashed(self.report()?)),
            BLOCKED => Some(CrashNotice::Blocked(self.cause()?, self.moment()?)),
            SURVIVED => Some(CrashNotice::Survived(self.cause()?, self.moment()?)),
            _ => None,
        }
    }

    fn report(&mut self) -> Option<CrashReport> {
        let server = self.hash()?;
        let at = self.moment()?;
        let count = self.byte()?;
        let suspects = (0..count).map(|_| self.suspect()).collect::<Option<_>>()?;
        Some(CrashReport {
            server,
            at,
            suspects,
        })
    }

    fn suspect(&mut self) -> Option<CrashSuspect> {
        let request = self.hash()?;
        let sent = self.moment()?;
        let count = self.byte()?;
        let parts = (0..count).map(|_| self.hash()).collect::<Option<_>>()?;
        Some(CrashSuspect {
            request,
            sent,
            parts,
        })
    }

    fn cause(&mut self) -> Option<CrashCause> {
        match self.byte()? {
            PART => Some(CrashCause::Part(self.hash()?)),
            REQUEST => Some(CrashCause::Request(self.hash()?)),
            _ => None,
        }
    }

    fn moment(&mut self) -> Option<Moment> {
        let (age, rest) = self.bytes.split_first_chunk::<4>()?;
        self.bytes = rest;
        let age = Duration::from_millis(u64::from(u32::from_be_bytes(*age)));
        Some(self.now.saturating_sub(age))
    }

    fn hash(&mut self) -> Option<u64> {
        let (hash, rest) = self.bytes.split_first_chunk::<8>()?;
        self.bytes = rest;
        Some(u64::from_be_bytes(*hash))
    }

    fn byte(&mut self) -> Option<u8> {
        let (byte, rest) = self.bytes.split_first()?;
        self.bytes = rest;
        Some(*byte)
    }
}
