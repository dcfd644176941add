//! Interface between the entry and a platform's names and formats.
//!
//! The crate of a platform implements [`PlatformFormat`]. It only translates,
//! and makes no decisions.

use std::net::SocketAddr;
use std::time::Duration;

use dewduty::lease::{DutySubject, FencingToken, LeaseId, StoreRevision, VmName};
use dewduty::usage::WrittenReport;
use dewguard::{CrashCause, EntryRevision, UnixMs};
use thiserror::Error;

use crate::http::HeaderFields;
use crate::origins::StreamOrigin;
use crate::tables::TableSet;
use crate::versions::{ServiceVersion, ServiceVersionHash, VersionRecord};

/// Id that a caller assigns to one of its attempts.
pub type AttemptId = String;

/// Id of a server.
pub type ReplicaId = String;

/// Version of a server's software, in no order.
pub type SoftwareVersion = String;

/// Number of the store's era; it rises each time the store returns from an older
/// copy of its data.
pub type StoreEra = u64;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the part; equal parts have equal ids.
    pub id: u64,
    /// Tokens of the part.
    pub tokens: u32,
}

/// Metadata of a request, read from its headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMetadata {
    /// Id of the caller's attempt.
    pub attempt: AttemptId,
    /// Time for which the caller waits.
    pub caller_timeout: Option<Duration>,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// Id of the last event that the caller received.
    pub last_event_id: Option<u64>,
    /// Attempt that brought the first event of the stream that the caller takes
    /// up again.
    pub resumed_attempt: Option<AttemptId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum output tokens.
    pub max_output_tokens: u32,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
}

/// Metadata that the entry adds to a forwarded request.
#[derive(Clone, Debug)]
pub struct ForwardMetadata<'a> {
    /// Time left until the response is due.
    pub time_left: Duration,
    /// Id of the server that must run the request.
    pub replica: &'a str,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// Priority at the engine; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Id of the last event that the caller received.
    pub last_event_id: Option<u64>,
}

/// How a caller's header is forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeaderClass {
    /// Forwarded, unless the caller's `Connection` header lists it.
    EndToEnd,
    /// Always forwarded unchanged.
    Metadata,
    /// Never forwarded; the entry may add its own.
    Reserved,
}

/// Metadata of a response, read from its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the caller's attempt that the response belongs to.
    pub attempt: Option<AttemptId>,
    /// Whether the server reports that it didn't run the request.
    pub not_run: bool,
    /// Whether the server reports that it is leaving.
    pub leaving: bool,
    /// Time for which the server accepts no further request from this VM.
    pub retry_after: Option<Duration>,
    /// What the server says about the rate of requests that it accepts.
    pub rate_limit: RateNotice,
    /// What the server says about its load.
    pub load: Option<LoadReport>,
}

/// What a server says about its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Time that work takes on its machine at this moment, relative to the usual
    /// time, if it says so; 1 is normal.
    pub slowness: Option<f64>,
}

/// What a response says about the rate of requests that its server accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateNotice {
    /// The server names no limit.
    #[default]
    Unlimited,
    /// The server accepts this many requests a second from all VMs together.
    Limited(f64),
    /// The limit can't be read; the earlier one stays in force.
    Unreadable,
}

/// Lifecycle stage of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaStage {
    /// Accepts requests.
    Ready,
    /// Accepts no new requests.
    Leaving,
}

/// A server's entry in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaEntry {
    /// Name of its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Version of its software. Servers of several versions may serve side by
    /// side.
    pub version: SoftwareVersion,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Its lifecycle stage.
    pub stage: ReplicaStage,
    /// Unix time of its start, in ms; 0 if it is unknown.
    pub started_ms: u64,
    /// Whether the platform may reclaim it at any time.
    pub interruptible: bool,
    /// Time until it leaves, if it has announced one.
    pub leaves_in: Option<Duration>,
}

/// What an item in the store describes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum RecordKey {
    /// The operators' tables.
    Tables,
    /// A server.
    Replica(ReplicaId),
    /// A VM of this system, by its name.
    Peer(String),
    /// A blocked cause of crashes.
    Block(CrashCause),
    /// The lift of a blocked cause by an operator.
    Lift(CrashCause),
    /// An entry among the lifts whose key names no cause.
    UnreadableLift,
    /// The holder of a duty.
    DutyHolder(DutySubject),
    /// The last fencing token of a duty.
    DutyToken(DutySubject),
    /// The last usage report that was written.
    UsageReport,
    /// A version that a service has had of late, by its hash.
    ServiceVersion(ServiceVersionHash),
    /// Streams and the versions at which they began.
    StreamOrigins,
    /// Anything else.
    Other,
}

/// An item in the store, or the removal of one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRecord {
    /// What the item describes.
    pub key: RecordKey,
    /// Name of its key in the store.
    pub name: String,
    /// Its value, unless it was removed.
    pub value: Option<Vec<u8>>,
    /// Revision of its last change.
    pub revision: u64,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads the tables.
    ReadTables,
    /// Lists servers, starting after a key.
    ListReplicas(Option<String>),
    /// Lists VMs, blocked causes and lifts, starting after a key.
    ListPeers(Option<String>),
    /// Waits for changes after a revision.
    Watch {
        /// The last known revision.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Checks whether the tables still have this revision.
    ConfirmTables(u64),
    /// Opens a lease with this TTL.
    OpenLease(Duration),
    /// Renews a lease.
    RenewLease(u64),
    /// Writes the entry of this VM, attached to a lease.
    PublishPeer {
        /// Name of the VM.
        vm: String,
        /// Address at which it receives digests.
        address: SocketAddr,
        /// Lease of the entry.
        lease: u64,
    },
    /// Writes that a cause of crashes is blocked, if its lift has this revision.
    PublishBlock {
        /// The cause.
        cause: CrashCause,
        /// Unix time of its last crash, in ms.
        last_crash_ms: UnixMs,
        /// Revision of the lift that is known; 0 if there is none.
        lift_revision: EntryRevision,
    },
    /// Removes the entry of a blocked cause.
    RemoveBlock(CrashCause),
    /// Writes that an operator lifts the block of a cause, and removes the block's
    /// entry.
    LiftBlock {
        /// The cause.
        cause: CrashCause,
        /// Unix time of the lift, in ms.
        lifted_ms: UnixMs,
    },
    /// Removes the lift of a cause, if it has this revision.
    RemoveLift {
        /// The cause.
        cause: CrashCause,
        /// Revision of the lift.
        revision: EntryRevision,
    },
    /// A call about duties.
    Duty(DutyCall),
    /// A call about software versions and the streams that they began.
    Version(VersionCall),
}

/// A call to the store about the software versions of services and the streams
/// that they began. It is made once; the caller decides what follows a failure.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionCall {
    /// Lists the recorded versions of services.
    List,
    /// Writes that a service has a version.
    Write(VersionRecord),
    /// Removes the record of a version, if it has this revision.
    Remove {
        /// The version.
        version: ServiceVersion,
        /// Revision of its record.
        revision: u64,
    },
    /// Opens a lease with this TTL for the origins of streams.
    OpenLease(Duration),
    /// Writes origins of streams, attached to a lease.
    WriteOrigins {
        /// The lease.
        lease: u64,
        /// Number of the write, unique for its lease.
        number: u64,
        /// The origins.
        origins: Vec<StreamOrigin>,
    },
}

/// A call to the store about duties that one VM performs at a time. It is made
/// once; the caller decides what follows a failure.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyCall {
    /// Opens a lease with this TTL.
    OpenLease(Duration),
    /// Renews a lease.
    RenewLease(LeaseId),
    /// Ends a lease.
    EndLease(LeaseId),
    /// Writes the holder of a duty and its token, if there is no holder and the
    /// token has this revision.
    Acquire {
        /// The duty.
        subject: DutySubject,
        /// Who holds it from now on.
        holder: DutyHolder,
        /// Revision of the last token; 0 if there is none.
        token_revision: StoreRevision,
    },
    /// Removes the holder of a duty, if it has this revision.
    Release {
        /// The duty.
        subject: DutySubject,
        /// Revision of the holder's record.
        revision: StoreRevision,
    },
    /// Writes a usage report, if the last one and the holder have these
    /// revisions.
    WriteReport {
        /// The report.
        report: WrittenReport,
        /// Revision of the last report; 0 if there is none.
        report_revision: StoreRevision,
        /// Revision of the holder's record.
        holder_revision: StoreRevision,
    },
}

/// Who holds a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyHolder {
    /// Name of the VM.
    pub vm: VmName,
    /// Its fencing token.
    pub token: FencingToken,
    /// The lease to which its record is attached.
    pub lease: LeaseId,
}

/// A call to the platform's API, which belongs to a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApiCall {
    /// Reports the usage of a window.
    ReportUsage(WrittenReport),
    /// Orders a number of servers of a service in a data centre.
    OrderServers {
        /// Name of the service.
        service: String,
        /// The data centre.
        data_centre: String,
        /// Desired number of servers of this kind.
        count: u32,
        /// Whether the platform may reclaim them.
        interruptible: bool,
    },
}

/// A response of the platform's API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApiResponse {
    /// The call took effect.
    Accepted,
    /// There are no such servers at this moment.
    Unavailable,
    /// Too many calls were made.
    Throttled,
    /// The API is out of order, with this HTTP status; the call can be repeated.
    Failed(u16),
    /// The call is wrong, with this HTTP status.
    Rejected(u16),
}

/// A response of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreResponse {
    /// An item, or none if it doesn't exist, at a revision of the store.
    Record(Option<StoreRecord>, u64),
    /// A page of items.
    Page {
        /// The items.
        records: Vec<StoreRecord>,
        /// Whether more pages follow.
        more: bool,
        /// Revision of the store at which the page was read.
        as_of: u64,
    },
    /// Changes after the revision of a watch.
    Changes {
        /// The changes, in order.
        records: Vec<StoreRecord>,
        /// Revision up to which the changes are complete.
        as_of: u64,
    },
    /// The store no longer has the history that a watch needs.
    Compacted,
    /// A transaction succeeded; for a confirmation, the tables are unchanged. The
    /// number is the current revision of the store.
    Committed(u64),
    /// The call succeeded.
    Succeeded,
    /// The tables have changed; their current record.
    Changed(Option<StoreRecord>),
    /// A condition of a transaction isn't met; the current records of the items
    /// that it names and that exist.
    Conflict(Vec<StoreRecord>),
    /// A lease was opened.
    Lease(u64),
    /// The lease has expired.
    LeaseExpired,
    /// The store refused the call with this HTTP status.
    Refused(u16),
}

/// A call to the store, encoded as an HTTP request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Headers beside those of HTTP.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: Vec<u8>,
}

/// Input that isn't in the platform's format.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0}")]
pub struct FormatError(pub String);

/// Names and formats of a platform.
pub trait PlatformFormat {
    /// Path of the readiness check.
    const READY_PATH: &'static str;

    /// Reads the metadata of a request.
    ///
    /// # Errors
    ///
    /// Returns an error for the first header that is malformed.
    fn request_metadata(fields: &HeaderFields) -> Result<RequestMetadata, FormatError>;

    /// Returns how a caller's header is forwarded; `name` is in lower case.
    fn header_class(name: &str) -> HeaderClass;

    /// Writes the headers that the entry adds to a forwarded request.
    fn write_forward_headers(out: &mut Vec<u8>, metadata: &ForwardMetadata<'_>);

    /// Reads the metadata of a response.
    fn response_metadata(fields: &HeaderFields) -> ResponseMetadata;

    /// Reads the era of the store from the headers of its response. The era
    /// rises each time the store returns from an older copy of its data.
    fn store_era(fields: &HeaderFields) -> Option<StoreEra>;

    /// Parses the tables.
    ///
    /// # Errors
    ///
    /// Returns an error if the tables are malformed.
    fn read_tables(value: &[u8]) -> Result<TableSet, FormatError>;

    /// Parses the entry of a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry is malformed.
    fn read_replica(value: &[u8]) -> Result<ReplicaEntry, FormatError>;

    /// Parses the address in the entry of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry is malformed.
    fn read_peer(value: &[u8]) -> Result<SocketAddr, FormatError>;

    /// Parses the entry of a blocked cause: the Unix time of its last crash, in
    /// ms.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry is malformed.
    fn read_block(value: &[u8]) -> Result<UnixMs, FormatError>;

    /// Parses the lift of a blocked cause: the Unix time at which an operator lifted
    /// the block, in ms.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry is malformed.
    fn read_lift(value: &[u8]) -> Result<UnixMs, FormatError>;

    /// Parses the record of the holder of a duty.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is malformed.
    fn read_duty_holder(value: &[u8]) -> Result<DutyHolder, FormatError>;

    /// Parses the record of the last token of a duty.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is malformed.
    fn read_duty_token(value: &[u8]) -> Result<FencingToken, FormatError>;

    /// Parses the record of the last usage report.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is malformed.
    fn read_usage_report(value: &[u8]) -> Result<WrittenReport, FormatError>;

    /// Parses the record of a version that a service has had.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is malformed.
    fn read_version_record(value: &[u8]) -> Result<VersionRecord, FormatError>;

    /// Encodes a call to the platform's API by the holder of a duty.
    fn write_api_call(call: &ApiCall, vm: &str, token: FencingToken) -> EncodedCall;

    /// Returns what the status of a response of the platform's API means.
    fn read_api_response(status: u16) -> ApiResponse;

    /// Encodes a call to the store.
    fn write_call(call: &StoreCall) -> EncodedCall;

    /// Parses the response to a call.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is malformed.
    fn read_response(
        call: &StoreCall,
        status: u16,
        body: &[u8],
    ) -> Result<StoreResponse, FormatError>;
}
