//! Events that the lease table takes, actions that it returns, and its views for
//! operators and logs.

use std::time::Duration;

use super::{DutySubject, FencingToken, LeaseId, StoreEra, StoreRevision, VmName};

/// The holder key of a subject.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderRecord {
    /// The holder.
    pub vm: VmName,
    /// The holder's token.
    pub token: FencingToken,
    /// The lease that the key is attached to.
    pub lease: LeaseId,
    /// Revision at which the key was written.
    pub revision: StoreRevision,
}

/// The token key of a subject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenRecord {
    /// The last token that was given out.
    pub token: FencingToken,
    /// Revision at which the key was written.
    pub revision: StoreRevision,
}

/// An event that the lease table takes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseEvent {
    /// The store responded. Each response is announced before its content is passed
    /// in; content of another era than the newest one is ignored.
    Responded {
        /// The era that the response names.
        era: Option<StoreEra>,
    },
    /// All duty keys were read; those that weren't reported are absent.
    Listed {
        /// Revision of the store when reading began.
        revision: StoreRevision,
    },
    /// The holder key, from a watch, a list or a 412.
    HolderSeen {
        /// The subject.
        subject: DutySubject,
        /// The key, unless it is absent.
        record: Option<HolderRecord>,
        /// Revision of the store as of which this is so. For a list, this is the
        /// list's revision, not the key's.
        revision: StoreRevision,
    },
    /// The token key, from a watch, a list or a 412.
    TokenSeen {
        /// The subject.
        subject: DutySubject,
        /// The key, unless it is absent.
        record: Option<TokenRecord>,
        /// Revision of the store as of which this is so.
        revision: StoreRevision,
    },
    /// A lease was opened.
    LeaseOpened {
        /// The lease.
        lease: LeaseId,
        /// When the call was sent.
        sent: Duration,
    },
    /// A lease was renewed.
    LeaseRenewed {
        /// The lease.
        lease: LeaseId,
        /// When the call was sent.
        sent: Duration,
    },
    /// The store doesn't have a lease any more.
    LeaseExpired {
        /// The lease.
        lease: LeaseId,
    },
    /// The transaction of an acquisition succeeded.
    Acquired {
        /// The subject.
        subject: DutySubject,
        /// The token that was written.
        token: FencingToken,
        /// The era that the response names.
        era: Option<StoreEra>,
        /// Revision of the transaction.
        revision: StoreRevision,
    },
    /// An acquisition failed by a 412 (after what it showed was passed in), was
    /// refused, or its response was lost.
    AcquireFailed {
        /// The subject.
        subject: DutySubject,
    },
    /// The holder key was removed by a release.
    Released {
        /// The subject.
        subject: DutySubject,
    },
    /// A release failed as an acquisition can.
    ReleaseFailed {
        /// The subject.
        subject: DutySubject,
    },
    /// Opening or renewing a lease failed, or the response was lost.
    LeaseCallFailed,
    /// The platform's API responded to a call.
    ApiAnswered {
        /// The subject.
        subject: DutySubject,
    },
    /// A call to the platform's API had no response.
    ApiFailed {
        /// The subject.
        subject: DutySubject,
    },
    /// Names of all known VMs, this one included.
    VmsChanged(Vec<VmName>),
    /// This VM is about to stop as planned.
    Stopping,
}

/// A store call that is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Open a lease.
    OpenLease {
        /// Its TTL.
        ttl: Duration,
    },
    /// Renew the lease.
    RenewLease {
        /// The lease.
        lease: LeaseId,
    },
    /// Write both keys in one transaction, if the holder key is absent and the token
    /// key is at its revision.
    Acquire {
        /// The subject.
        subject: DutySubject,
        /// The token to write to both keys.
        token: FencingToken,
        /// The lease to attach the holder key to.
        lease: LeaseId,
        /// Expected revision of the token key; 0 if it is absent.
        token_revision: StoreRevision,
        /// The era for which the token was chosen.
        era: Option<StoreEra>,
    },
    /// Remove the holder key if it is still at this revision.
    Release {
        /// The subject.
        subject: DutySubject,
        /// Expected revision of the holder key.
        revision: StoreRevision,
    },
    /// End the lease; the result need not be passed in.
    EndLease {
        /// The lease.
        lease: LeaseId,
    },
}

/// The right to act on a subject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Authority {
    /// The token that each call carries.
    pub token: FencingToken,
    /// When calls in progress must have been aborted at the latest.
    pub valid_until: Duration,
    /// Revision of the holder key, for conditional writes.
    pub holder_revision: StoreRevision,
}

/// A holder as an operator sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HoldingView<'a> {
    /// The subject.
    pub subject: &'a DutySubject,
    /// The holder.
    pub holder: &'a str,
    /// The holder's token.
    pub token: FencingToken,
    /// When this VM first saw that holder with that token.
    pub since: Duration,
    /// Whether this process is the holder.
    pub own: bool,
}

/// What happened to a duty of this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// This VM became the holder.
    Acquired,
    /// This VM stopped being the holder without having given up the duty.
    Lost,
    /// This VM gave up the duty, and its key is gone.
    Released,
    /// An acquisition succeeded in the store, but doesn't count, or couldn't be tried.
    Refused,
}

/// Why it happened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeReason {
    /// The transaction succeeded.
    Committed,
    /// The holder key showed an acquisition whose response was lost.
    FoundInStore,
    /// The holder key was removed by another VM or with the lease.
    KeyRemoved,
    /// The holder key names another holder.
    OtherHolder,
    /// The store doesn't have the lease any more.
    LeaseExpired,
    /// The store returned from an older copy.
    EraChanged,
    /// Another acquisition, lease or era has replaced that of the transaction.
    Superseded,
    /// The platform's API didn't respond.
    ApiUnreachable,
    /// The subject isn't wanted any more.
    NotWanted,
    /// A planned stop.
    Stopping,
    /// An acquisition was found in a pause.
    Paused,
    /// The era is too large for a token.
    EraTooLarge,
}

/// A change of a duty of this VM with its inputs, for a log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderChange {
    /// The subject.
    pub subject: DutySubject,
    /// What happened.
    pub kind: ChangeKind,
    /// Why it happened.
    pub reason: ChangeReason,
    /// The token concerned, 0 if there is none.
    pub token: FencingToken,
    /// The store's era.
    pub era: Option<StoreEra>,
    /// Rank of this VM among the candidates, if it was needed.
    pub rank: Option<usize>,
    /// Time since the lease was last renewed, if there is one.
    pub lease_age: Option<Duration>,
}
