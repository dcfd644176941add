//! Counts the bytes that a process holds for callers and servers.
//!
//! The main invariant: the count of a part is the sum of its live charges, because
//! only a charge changes the count, and a dropped charge counts nothing.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AccountPart {
    /// Received bytes that are no part of an accepted request: incomplete heads,
    /// pipelined requests.
    Input,
    /// Request bodies that are read, wait or are sent, with the heads of their
    /// requests.
    Bodies,
    /// Bytes from servers that callers haven't taken.
    Responses,
}

impl AccountPart {
    /// All parts.
    pub const ALL: [Self; 3] = [Self::Input, Self::Bodies, Self::Responses];

    /// Returns the name of the part in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Input => "input",
            Self::Bodies => "bodies",
            Self::Responses => "responses",
        }
    }
}

/// Limits of the parts, in bytes.
///
/// Together they are 9/16 of the memory limit of the process. The rest is for its
/// code, tables and state, and for memory that the allocator can't reuse.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryLimits {
    /// Limit of [`AccountPart::Input`].
    pub input: u64,
    /// Limit of [`AccountPart::Bodies`].
    pub bodies: u64,
    /// Limit of [`AccountPart::Responses`].
    pub responses: u64,
}

impl MemoryLimits {
    /// Derives the limits from the memory limit of the process, in bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbudget::MemoryLimits;
    ///
    /// let limits = MemoryLimits::derive(120_000_000);
    /// assert_eq!(limits.bodies, 40_000_000);
    /// assert_eq!((limits.input, limits.responses), (7_500_000, 20_000_000));
    /// ```
    pub fn derive(memory: u64) -> Self {
        Self {
            input: memory / 16,
            bodies: memory / 3,
            responses: memory / 6,
        }
    }
}

/// Counts held bytes in parts; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct ByteAccount(Arc<[AtomicU64; AccountPart::ALL.len()]>);

impl ByteAccount {
    /// Returns the bytes that are held in a part.
    pub fn held(&self, part: AccountPart) -> u64 {
        self.count(part).load(Ordering::Relaxed)
    }

    /// Creates a charge of no bytes to a part.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewbudget::{AccountPart, ByteAccount};
    ///
    /// let account = ByteAccount::default();
    /// let mut charge = account.charge(AccountPart::Bodies);
    /// charge.set(100);
    /// assert_eq!(account.held(AccountPart::Bodies), 100);
    /// drop(charge);
    /// assert_eq!(account.held(AccountPart::Bodies), 0);
    /// ```
    pub fn charge(&self, part: AccountPart) -> ByteCharge {
        ByteCharge {
            owner: Some((self.clone(), part)),
            bytes: 0,
        }
    }

    fn count(&self, part: AccountPart) -> &AtomicU64 {
        &self.0[part as usize]
    }
}

/// Bytes of one owner that are counted until the charge is dropped.
///
/// The default charge counts nowhere.
#[derive(Debug, Default)]
pub struct ByteCharge {
    owner: Option<(ByteAccount, AccountPart)>,
    bytes: u64,
}

impl ByteCharge {
    /// Sets the number of bytes.
    pub fn set(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        if bytes == self.bytes {
            return;
        }
        if let Some((account, part)) = &self.owner {
            let count = account.count(*part);
            // Relaxed: a count guards no other memory.
            match bytes.checked_sub(self.bytes) {
                Some(more) => count.fetch_add(more, Ordering::Relaxed),
                None => count.fetch_sub(self.bytes - bytes, Ordering::Relaxed),
            };
        }
        self.bytes = bytes;
    }
}

impl Drop for ByteCharge {
    fn drop(&mut self) {
        self.set(0);
    }
}
