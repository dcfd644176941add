//! A message body in segments.
//!
//! A growing contiguous buffer is copied each time it doubles, and holds up to
//! twice its bytes. Segments are never copied.

use crate::account::ByteCharge;

/// Largest segment, in bytes.
const SEGMENT_BYTES: usize = 16 * 1024;

/// Smallest segment, in bytes.
const MIN_SEGMENT_BYTES: usize = 256;

/// Accepts the decoded bytes of a body.
pub trait BodySink {
    /// Appends bytes.
    fn append(&mut self, bytes: &[u8]);
}

impl BodySink for Vec<u8> {
    fn append(&mut self, bytes: &[u8]) {
        self.extend_from_slice(bytes);
    }
}

/// A body whose segments are counted by a charge.
#[derive(Debug, Default)]
pub struct SegmentedBody {
    segments: Vec<Vec<u8>>,
    length: usize,
    allocated: usize,
    charge: ByteCharge,
}

impl SegmentedBody {
    /// Creates an empty body whose bytes are counted by `charge`.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbudget::{AccountPart, BodySink, ByteAccount, SegmentedBody};
    ///
    /// let account = ByteAccount::default();
    /// let mut body = SegmentedBody::new(account.charge(AccountPart::Bodies));
    /// body.append(&[b'x'; 100_000]);
    /// assert_eq!(body.len(), 100_000);
    /// assert_eq!(body.segments().map(<[u8]>::len).sum::<usize>(), 100_000);
    /// assert!(account.held(AccountPart::Bodies) >= 100_000);
    /// ```
    pub fn new(charge: ByteCharge) -> Self {
        Self {
            charge,
            ..Self::default()
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the segments in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Vec::as_slice)
    }

    /// Returns the segment at a position.
    pub fn segment(&self, index: usize) -> Option<&[u8]> {
        self.segments.get(index).map(Vec::as_slice)
    }

    /// Takes the segments; their bytes are no longer counted.
    pub fn into_segments(self) -> Vec<Vec<u8>> {
        self.segments
    }

    /// Removes all bytes and frees their memory.
    pub fn clear(&mut self) {
        self.segments = Vec::new();
        self.length = 0;
        self.allocated = 0;
        self.charge.set(0);
    }
}

impl BodySink for SegmentedBody {
    fn append(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let room = match self.segments.last() {
                Some(last) => last.capacity() - last.len(),
                None => 0,
            };
            if room == 0 {
                let size = bytes.len().max(self.allocated);
                let size = size.clamp(MIN_SEGMENT_BYTES, SEGMENT_BYTES);
                let segment = Vec::with_capacity(size);
                self.allocated += segment.capacity();
                self.segments.push(segment);
                continue;
            }
            let (first, rest) = bytes.split_at(room.min(bytes.len()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(first);
            }
            bytes = rest;
        }
        self.charge.set(self.allocated);
    }
}
