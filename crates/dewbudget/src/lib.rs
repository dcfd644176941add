//! The account of the bytes that callers and servers make a process hold.
//!
//! - [`account`]: counts held bytes in a few parts, each with a limit derived from
//!   the memory limit of the process.
//! - [`body`]: a message body in segments, which grows without copies and whose
//!   bytes are counted.
//! - [`uploads`]: decides which request bodies are read on, which wait, and which
//!   are refused when the part for bodies is short.
//!
//! Both daemons use it. Decisions are plain functions of a state and a time.

pub mod account;
pub mod body;
pub mod uploads;

pub use account::{AccountPart, ByteAccount, ByteCharge, MemoryLimits};
pub use body::{BodySink, SegmentedBody};
pub use uploads::{UploadLimits, UploadPlan, UploadRefusal, UploadTable};
