//! The datagrams with counts and the replies to them.
//!
//! All numbers are big endian. Main invariant: what decodes was encoded by this
//! module or has the same meaning as something that was.

use std::time::Duration;

use indexmap::IndexMap;

use super::{ShareState, UsageAck, UsageShare};

/// First bytes of a datagram with counts.
pub const SHARE_MAGIC: [u8; 4] = *b"DWU1";

/// First bytes of a reply.
pub const ACK_MAGIC: [u8; 4] = *b"DWV1";

/// Maximum bytes of a datagram, so that it fits in a packet.
const MAX_BYTES: usize = 1400;

/// Bytes before the counts: magic, seven numbers, flags, number of counts.
const HEADER_BYTES: usize = 4 + 7 * 8 + 1 + 2;

/// Bytes of a count: workspace, number.
const ENTRY_BYTES: usize = 12;

/// Maximum number of counts in a datagram.
const MAX_ENTRIES: usize = (MAX_BYTES - HEADER_BYTES) / ENTRY_BYTES;

/// Flags of a share.
const FINAL: u8 = 1;
const LAST: u8 = 2;

/// Value of a window or a time that stands for none.
const NONE: u64 = u64::MAX;

impl UsageShare {
    /// Encodes the share into datagrams, each of which is a share of its own.
    pub fn encode(&self) -> Vec<Vec<u8>> {
        let entries = self.counts.iter().collect::<Vec<_>>();
        let mut chunks = entries.chunks(MAX_ENTRIES).collect::<Vec<_>>();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        chunks
            .into_iter()
            .map(|chunk| self.encode_part(chunk))
            .collect()
    }

    fn encode_part(&self, entries: &[(&u64, &u32)]) -> Vec<u8> {
        let mut bytes = SHARE_MAGIC.to_vec();
        let numbers = [
            self.vm,
            self.started,
            milliseconds(self.sent_unix),
            self.window,
            self.first,
            self.reported.unwrap_or(NONE),
            self.total,
        ];
        bytes.extend(numbers.into_iter().flat_map(u64::to_be_bytes));
        let flags = (FINAL * u8::from(self.is_final)) | (LAST * u8::from(self.is_last));
        bytes.push(flags);
        bytes.extend((entries.len() as u16).to_be_bytes());
        for (workspace, count) in entries {
            bytes.extend(workspace.to_be_bytes());
            bytes.extend(count.to_be_bytes());
        }
        bytes
    }

    /// Decodes a datagram; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<UsageShare> {
        let mut reader = ByteReader::after_magic(bytes, SHARE_MAGIC)?;
        let mut share = UsageShare {
            vm: reader.u64()?,
            started: reader.u64()?,
            sent_unix: Duration::from_millis(reader.u64()?),
            window: reader.u64()?,
            first: reader.u64()?,
            reported: Some(reader.u64()?).filter(|&window| window != NONE),
            total: reader.u64()?,
            is_final: false,
            is_last: false,
            counts: IndexMap::new(),
        };
        let flags = reader.u8()?;
        share.is_final = flags & FINAL != 0;
        share.is_last = flags & LAST != 0;
        let count = usize::from(reader.u16()?);
        if flags > FINAL | LAST || count > MAX_ENTRIES || reader.len() != count * ENTRY_BYTES {
            return None;
        }
        for _ in 0..count {
            let (workspace, number) = (reader.u64()?, reader.u32()?);
            let is_repeated = share.counts.insert(workspace, number).is_some();
            if is_repeated || number == 0 {
                return None;
            }
        }
        let sum = share.counts.values().copied().map(u64::from).sum::<u64>();
        (sum <= share.total && share.first <= share.window).then_some(share)
    }
}

impl UsageAck {
    /// Encodes the reply into a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = ACK_MAGIC.to_vec();
        let numbers = [
            self.receiver,
            self.receiver_started,
            self.vm,
            self.started,
            self.window,
            self.arrived,
            self.dropped,
            self.unix.map_or(NONE, milliseconds),
        ];
        bytes.extend(numbers.into_iter().flat_map(u64::to_be_bytes));
        bytes.push(match self.state {
            ShareState::Incomplete => 0,
            ShareState::Complete => 1,
            ShareState::Reported => 2,
        });
        bytes
    }

    /// Decodes a datagram; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<UsageAck> {
        let mut reader = ByteReader::after_magic(bytes, ACK_MAGIC)?;
        let ack = UsageAck {
            receiver: reader.u64()?,
            receiver_started: reader.u64()?,
            vm: reader.u64()?,
            started: reader.u64()?,
            window: reader.u64()?,
            arrived: reader.u64()?,
            dropped: reader.u64()?,
            unix: Some(reader.u64()?)
                .filter(|&unix| unix != NONE)
                .map(Duration::from_millis),
            state: match reader.u8()? {
                0 => ShareState::Incomplete,
                1 => ShareState::Complete,
                2 => ShareState::Reported,
                _ => return None,
            },
        };
        (reader.len() == 0).then_some(ack)
    }
}

/// Reads numbers from a datagram.
struct ByteReader<'a> {
    rest: &'a [u8],
}

impl<'a> ByteReader<'a> {
    fn after_magic(bytes: &'a [u8], magic: [u8; 4]) -> Option<Self> {
        let rest = bytes.strip_prefix(&magic)?;
        Some(ByteReader { rest })
    }

    fn len(&self) -> usize {
        self.rest.len()
    }

    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (bytes, rest) = self.rest.split_first_chunk::<N>()?;
        self.rest = rest;
        Some(*bytes)
    }

    fn u8(&mut self) -> Option<u8> {
        self.take().map(u8::from_be_bytes)
    }

    fn u16(&mut self) -> Option<u16> {
        self.take().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.take().map(u32::from_be_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.take().map(u64::from_be_bytes)
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).map_or(NONE - 1, |time| time.min(NONE - 1))
}
