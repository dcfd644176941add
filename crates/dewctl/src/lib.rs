//! The operators' command line, as a library.
//!
//! The program `dewctl` is a thin driver: it hands [`run()`] its arguments, its
//! output streams and the platform's store. Each command is a module that
//! returns a report; [`run()`] prints it as text or JSON and turns every outcome
//! into an [`ExitStatus`].
//!
//! - [`commit`]: a change of the stored document, applied at most once.
//! - [`apply`], [`drain`]: the commands that change something.
//! - [`admin`], [`wait`]: calls to the daemons.

pub mod admin;
pub mod apply;
mod cli;
pub mod commit;
pub mod conflict;
pub mod drain;
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
