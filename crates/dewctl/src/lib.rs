//! Library behind `dewctl`, the command line for operators.
//!
//! The program is a thin wrapper around [`run()`], which takes the arguments,
//! the output streams and a function that opens the platform's store. Each
//! command is a module that returns a report; [`run()`] prints the report as
//! text or JSON and maps every outcome to an [`ExitStatus`].
//!
//! - [`commit`]: changes the stored document at most once per change id.
//! - [`apply`], [`drain`]: the commands that change the fleet.
//! - [`admin`], [`wait`]: requests to the daemons' admin addresses.
//! - [`duties`]: which VM of a `dewnode` fleet holds which duty.

pub mod admin;
pub mod apply;
mod cli;
pub mod commit;
pub mod conflict;
pub mod drain;
pub mod duties;
pub mod error;
pub mod explain;
mod print;
mod reports;
mod run;
mod settings;
pub mod show;
pub mod status;
pub mod tables_dir;
pub mod wait;

pub use error::{CommandError, ExitStatus};
pub use run::run;
