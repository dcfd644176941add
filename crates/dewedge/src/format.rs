//! What the entry needs of a platform's names and formats.
//!
//! A platform's crate implements [`PlatformFormat`]. It translates and decides
//! nothing: every field here says what it holds in the project's own words.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::http::HeaderFields;
use crate::tables::TableSet;

/// Id that a caller gives one attempt.
pub type AttemptId = String;

/// Id of one start of a server.
pub type ReplicaId = String;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the part; equal parts have equal ids.
    pub id: u64,
    /// Tokens of the part.
    pub tokens: u32,
}

/// What a request says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMetadata {
    /// Id of the caller's attempt.
    pub attempt: AttemptId,
    /// How long the caller will wait.
    pub caller_timeout: Option<Duration>,
    /// The caller's key.
    pub api_key: Option<String>,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
}

/// What the entry adds to a request that it passes on.
#[derive(Clone, Debug)]
pub struct ForwardMetadata<'a> {
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// The server that is meant.
    pub replica: &'a str,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// Rank at the engine; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// How a caller's header is treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeaderClass {
    /// Passed on, unless the caller names it as one of the connection's.
    EndToEnd,
    /// Always passed on as it is.
    Metadata,
    /// Set by the system; the caller's own is dropped.
    Reserved,
}

/// What an answer says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the attempt that is answered.
    pub attempt: Option<AttemptId>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
}

/// State of a server in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaStage {
    /// Takes requests.
    Ready,
    /// Is leaving.
    Leaving,
}

/// One server in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaEntry {
    /// Name of its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub stage: ReplicaStage,
    /// Unix time of its start, in ms; 0 if it isn't stated.
    pub started_ms: u64,
}

/// Whose entry an item of the store is.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum RecordKey {
    /// The tables of the operators.
    Tables,
    /// A server.
    Replica(ReplicaId),
    /// A VM of the system.
    Peer(String),
    /// Something else.
    Other,
}

/// An item of the store; no value means that it was removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRecord {
    /// Whose entry it is.
    pub key: RecordKey,
    /// Name of the key in the store.
    pub name: String,
    /// The bytes, unless the item was removed.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: u64,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads the tables.
    ReadTables,
    /// Lists servers after a name.
    ListReplicas(Option<String>),
    /// Lists VMs after a name.
    ListPeers(Option<String>),
    /// Waits for changes after a revision.
    Watch {
        /// Changes up to this revision are known.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Asks whether the tables still have a revision; changes nothing.
    ConfirmTables(u64),
    /// Opens a lease.
    OpenLease(Duration),
    /// Renews a lease.
    RenewLease(u64),
    /// Writes the entry of this VM under a lease.
    PublishPeer {
        /// Name of the VM.
        vm: String,
        /// Where it takes digests.
        address: SocketAddr,
        /// Lease of the entry.
        lease: u64,
    },
}

/// An answer of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreResponse {
    /// One item, or none, at a revision of the store.
    Record(Option<StoreRecord>, u64),
    /// A page of items.
    Page {
        /// The items.
        records: Vec<StoreRecord>,
        /// Whether more pages follow.
        more: bool,
        /// Revision of the store.
        as_of: u64,
    },
    /// Changes since the revision of a watch.
    Changes {
        /// The changes, in order.
        records: Vec<StoreRecord>,
        /// Revision up to which changes are told.
        as_of: u64,
    },
    /// The history that a watch needs is gone.
    Compacted,
    /// The condition of a call holds.
    Succeeded,
    /// The condition of a call doesn't hold; the tables as they are.
    Changed(Option<StoreRecord>),
    /// A lease is open.
    Lease(u64),
    /// A lease has ended.
    LeaseExpired,
    /// The store refused the call, with this HTTP status.
    Refused(u16),
}

/// A request to the store, ready for HTTP.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body, as JSON.
    pub body: Vec<u8>,
}

/// Bytes that don't have the platform's format.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0}")]
pub struct FormatError(pub String);

/// Names and formats of a platform.
pub trait PlatformFormat {
    /// Path of the question whether the VM takes connections.
    const READY_PATH: &'static str;

    /// Reads what a request says of itself.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the first header that can't be read.
    fn request_metadata(fields: &HeaderFields) -> Result<RequestMetadata, FormatError>;

    /// Returns how a caller's header is treated; `name` is in lower case.
    fn header_class(name: &str) -> HeaderClass;

    /// Writes the headers that the entry adds to a request.
    fn write_forward_headers(out: &mut Vec<u8>, facts: &ForwardMetadata<'_>);

    /// Reads what an answer says of itself.
    fn response_metadata(fields: &HeaderFields) -> ResponseMetadata;

    /// Reads the tables.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the tables.
    fn read_tables(value: &[u8]) -> Result<TableSet, FormatError>;

    /// Reads the entry of a server.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the entry.
    fn read_replica(value: &[u8]) -> Result<ReplicaEntry, FormatError>;

    /// Reads the address in the entry of a VM.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the entry.
    fn read_peer(value: &[u8]) -> Result<SocketAddr, FormatError>;

    /// Writes a call to the store.
    fn write_call(call: &StoreCall) -> EncodedCall;

    /// Reads the answer to a call.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the answer.
    fn read_response(
        call: &StoreCall,
        status: u16,
        body: &[u8],
    ) -> Result<StoreResponse, FormatError>;
}
