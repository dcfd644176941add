//! Parses the arguments, runs the command and prints its report.

use std::ffi::OsString;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dewspring::store::PlatformStore;
use dewspring::tables::{ConfigDocument, TableDiff, config_key, random_change_id};
use indicatif::{ProgressBar, ProgressStyle};

use crate::admin::AdminClient;
use crate::apply::{ApplyBase, ApplyRequest, apply_tables};
use crate::cli::{
    ApplyArguments, DrainArguments, OperatorCommand, WaitArguments, command, operator_command,
};
use crate::commit::{ChangeOrigin, CommitLimits, CommitOutcome};
use crate::drain::{ServerDrain, drain_server, drain_vm};
use crate::duties::DutyTable;
use crate::error::{CommandError, ExitStatus};
use crate::explain::explain_request;
use crate::print::ReportPrinter;
use crate::reports::{ChangeReport, CheckReport, InForceReport, VmDrainReport};
use crate::settings::OperatorSettings;
use crate::show::{DocumentReport, HistoryReport, RevisionReport, read_fleet};
use crate::status::StatusTable;
use crate::tables_dir::{TablesDir, read_base, write_base};
use crate::wait::{AwaitedChange, WaitLimits, wait_in_force};

/// Retry limits for changes of the stored document.
const COMMIT_LIMITS: CommitLimits = CommitLimits {
    retry_timeout: Duration::from_secs(30),
    retry_pause: Duration::from_millis(200),
};

/// Pause between two status polls of all daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum length of a change id.
const MAX_CHANGE_ID_BYTES: usize = 64;

/// Runs the command given by `arguments` and returns its exit status.
///
/// The first argument is the program's name. Reports are written to `output`,
/// errors to `errors`; with `--json`, a failed command's error is written to
/// `output` instead. Usage errors of the parser and warnings always go to `errors`.
///
/// # Examples
///
/// ```
/// use dewctl::{ExitStatus, run};
/// use dewspring::store::EmbeddedStore;
///
/// let (mut output, mut errors) = (Vec::new(), Vec::new());
/// let arguments = ["dewctl", "check", "no-such-directory"];
/// let arguments = arguments.map(Into::into);
/// let status = run(arguments, &mut output, &mut errors, |_, _| EmbeddedStore::open());
/// assert_eq!(status, ExitStatus::Failed);
/// ```
pub fn run<S: PlatformStore>(
    arguments: impl IntoIterator<Item = OsString>,
    output: &mut impl Write,
    errors: &mut impl Write,
    open_store: impl Fn(SocketAddr, Duration) -> S,
) -> ExitStatus {
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) if error.use_stderr() => {
            let _ = write!(errors, "{error}");
            return ExitStatus::Usage;
        }
        Err(help) => {
            let _ = write!(output, "{help}");
            return ExitStatus::Success;
        }
    };
    let json = matches.get_flag("json");
    let mut printer = ReportPrinter {
        output,
        errors,
        json,
    };
    let outcome = OperatorSettings::from_matches(&matches).and_then(|settings| {
        let mut runner = CommandRunner {
            settings,
            printer: &mut printer,
            open_store,
        };
        runner.run(&operator_command(&matches))
    });
    match outcome {
        Ok(status) => status,
        Err(error) => {
            printer.error(&error);
            error.exit_status()
        }
    }
}

struct CommandRunner<'c, 'p, O, E, F> {
    settings: OperatorSettings,
    printer: &'c mut ReportPrinter<'p, O, E>,
    open_store: F,
}

impl<O, E, F, S> CommandRunner<'_, '_, O, E, F>
where
    O: Write,
    E: Write,
    F: Fn(SocketAddr, Duration) -> S,
    S: PlatformStore,
{
    fn run(&mut self, command: &OperatorCommand) -> Result<ExitStatus, CommandError> {
        match command {
            OperatorCommand::Check { dir } => self.check(dir)?,
            OperatorCommand::Diff { dir, against } => self.diff(dir, against.as_deref())?,
            OperatorCommand::Apply(arguments) => self.apply(arguments)?,
            OperatorCommand::Show { revision_only, to } => {
                self.show(*revision_only, to.as_deref())?;
            }
            OperatorCommand::History => self.history()?,
            OperatorCommand::Status => return self.status(),
            OperatorCommand::Duties { nodes } => return self.duties(nodes),
            OperatorCommand::Explain { request } => {
                let explanation = explain_request(&self.settings.admin_client()?, request)?;
                self.printer.report(&explanation)?;
            }
            OperatorCommand::DrainVm { vm } => {
                let report = drain_vm(&self.settings.admin_client()?, vm)?;
                self.printer.report(&VmDrainReport(report))?;
            }
            OperatorCommand::DrainServer(arguments) => self.drain_server(arguments)?,
        }
        Ok(ExitStatus::Success)
    }

    fn store(&self) -> Result<S, CommandError> {
        let address = self.settings.platform()?;
        Ok((self.open_store)(address, self.settings.timeout))
    }

    fn check(&mut self, dir: &Path) -> Result<(), CommandError> {
        let dir = TablesDir::new(dir);
        let tables = dir.check(&dir.read_texts()?)?;
        let pools = tables.pools.rows.values();
        self.printer.report(&CheckReport {
            routes: tables.routes.rows.len(),
            pools: tables.pools.rows.len(),
            servers: pools.map(|pool| pool.servers.len()).sum(),
        })
    }

    fn diff(&mut self, dir: &Path, against: Option<&Path>) -> Result<(), CommandError> {
        let dir = TablesDir::new(dir);
        let after = dir.check(&dir.read_texts()?)?;
        let before = match against {
            Some(against) => {
                let against = TablesDir::new(against);
                against.check(&against.read_texts()?)?
            }
            None => read_fleet(&self.store()?, &self.settings.fleet)?
                .texts()
                .check()?,
        };
        self.printer.report(&TableDiff::between(&before, &after))
    }

    fn show(&mut self, revision_only: bool, to: Option<&Path>) -> Result<(), CommandError> {
        let document = read_fleet(&self.store()?, &self.settings.fleet)?;
        let revision = document.revision;
        if let Some(dir) = to {
            TablesDir::new(dir).write(&document)?;
        }
        if revision_only || to.is_some() {
            self.printer.report(&RevisionReport { revision })
        } else {
            self.printer.report(&DocumentReport(document))
        }
    }

    fn history(&mut self) -> Result<(), CommandError> {
        let document = read_fleet(&self.store()?, &self.settings.fleet)?;
        let changes = document.changes().collect();
        self.printer.report(&HistoryReport { changes })
    }

    fn status(&mut self) -> Result<ExitStatus, CommandError> {
        let table = StatusTable::fetch(&self.settings.admin_client()?);
        self.printer.report(&table)?;
        if table.is_complete() {
            Ok(ExitStatus::Success)
        } else {
            Ok(ExitStatus::Failed)
        }
    }

    fn duties(&mut self, nodes: &[SocketAddr]) -> Result<ExitStatus, CommandError> {
        // The ready addresses need no secret.
        let client = AdminClient::new(nodes.to_vec(), "", self.settings.timeout);
        let table = DutyTable::fetch(&client);
        self.printer.report(&table)?;
        if table.is_consistent() {
            Ok(ExitStatus::Success)
        } else {
            Ok(ExitStatus::Failed)
        }
    }

    fn apply(&mut self, arguments: &ApplyArguments) -> Result<(), CommandError> {
        let store = self.store()?;
        let dir = TablesDir::new(&arguments.dir);
        let texts = dir.read_texts()?;
        dir.check(&texts)?;
        let base_path = arguments.base.clone().unwrap_or_else(|| dir.base_path());
        let request = ApplyRequest {
            base: apply_base(arguments, &base_path)?,
            texts,
            allows_rebase: arguments.rebase,
            origin: self.origin(arguments.change_id.as_deref())?,
        };
        self.check_wait_settings(arguments.wait)?;
        let key = config_key(&self.settings.fleet);
        let outcome = apply_tables(&store, &key, &request, COMMIT_LIMITS)?;
        if arguments.expect.is_none() {
            self.save_base(&dir, &base_path, &request, &outcome);
        }
        self.report_and_wait(&outcome, arguments.wait)
    }

    /// Saves the applied document as the base of the next edit.
    ///
    /// After a rebase, the merged tables replace the directory's, so that the
    /// tables and their base match. If the outcome was read back or nothing was
    /// written, differing tables in the directory are kept and a warning is printed.
    fn save_base(
        &mut self,
        dir: &TablesDir,
        base_path: &Path,
        request: &ApplyRequest,
        outcome: &CommitOutcome,
    ) {
        let (document, is_swap_confirmed) = match outcome {
            CommitOutcome::Unchanged(document) => (Some(&**document), false),
            CommitOutcome::Applied(change) => (change.document.as_ref(), !change.was_read_back),
        };
        let is_as_requested = document.is_some_and(|document| document.texts() == request.texts);
        let written = match document {
            Some(document) if is_as_requested => write_base(base_path, document),
            Some(document) if is_swap_confirmed => {
                self.printer
                    .warn("the tables of the directory now contain the merged changes");
                write_merged(dir, base_path, document)
            }
            Some(_) | None => {
                self.printer.warn(
                    "the stored tables differ from the directory's; fetch them with `dewctl show --to DIR`",
                );
                return;
            }
        };
        if let Err(error) = written {
            self.printer.warn(&format!(
                "failed to save the base of the next edit: {error}"
            ));
        }
    }

    fn drain_server(&mut self, arguments: &DrainArguments) -> Result<(), CommandError> {
        let store = self.store()?;
        let request = ServerDrain {
            fleet: self.settings.fleet.clone(),
            server: arguments.server.clone(),
            drain: !arguments.undo,
        };
        let origin = self.origin(arguments.change_id.as_deref())?;
        self.check_wait_settings(arguments.wait)?;
        let key = config_key(&self.settings.fleet);
        let outcome = drain_server(&store, &key, &request, &origin, COMMIT_LIMITS)?;
        self.report_and_wait(&outcome, arguments.wait)
    }

    fn origin(&self, change_id: Option<&str>) -> Result<ChangeOrigin, CommandError> {
        let change_id = change_id.map_or_else(random_change_id, str::to_owned);
        let is_id_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"_-".contains(&byte);
        let is_length_valid = !change_id.is_empty() && change_id.len() <= MAX_CHANGE_ID_BYTES;
        if !is_length_valid || !change_id.bytes().all(is_id_byte) {
            let message = "--change-id: must hold 1 to 64 letters, digits, '_' or '-'";
            return Err(CommandError::Usage(message.to_owned()));
        }
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Ok(ChangeOrigin {
            change_id,
            operator: self.settings.operator()?,
            applied_at: since_epoch.map_or(0, |time| time.as_secs()),
        })
    }

    /// Checks the settings that `--wait` needs before anything is changed.
    fn check_wait_settings(&self, arguments: WaitArguments) -> Result<(), CommandError> {
        if arguments.wait {
            self.settings.admin_client()?;
        }
        Ok(())
    }

    /// Prints the outcome of a change and, with `--wait`, waits until it is in force.
    fn report_and_wait(
        &mut self,
        outcome: &CommitOutcome,
        arguments: WaitArguments,
    ) -> Result<(), CommandError> {
        let report = ChangeReport::from(outcome);
        self.printer.report(&report)?;
        if !arguments.wait {
            return Ok(());
        }
        let change = AwaitedChange {
            revision: report.revision,
            change_id: report.change_id.clone(),
        };
        self.wait(&change, arguments)?;
        self.printer.report(&InForceReport {
            in_force_everywhere: report.revision,
        })
    }

    fn wait(&self, change: &AwaitedChange, arguments: WaitArguments) -> Result<(), CommandError> {
        let client = self.settings.admin_client()?;
        let limits = WaitLimits {
            timeout: Duration::from_secs(arguments.timeout_seconds),
            poll_interval: POLL_INTERVAL,
        };
        // The bar is drawn on standard error, and only on a terminal.
        let bar = ProgressBar::new(client.daemon_count() as u64);
        bar.set_style(progress_style());
        bar.set_message(format!("revision {} in force", change.revision));
        let outcome = wait_in_force(&client, change, limits, |daemons| {
            bar.set_position(daemons as u64);
        });
        bar.finish_and_clear();
        Ok(outcome?)
    }
}

fn progress_style() -> ProgressStyle {
    ProgressStyle::with_template("{msg} [{bar:20}] {pos}/{len} daemons, {elapsed}")
        .expect("the template is valid")
}

fn apply_base(arguments: &ApplyArguments, path: &Path) -> Result<ApplyBase, CommandError> {
    if let Some(revision) = arguments.expect {
        return Ok(match revision {
            0 => ApplyBase::Absent,
            revision => ApplyBase::Revision(revision),
        });
    }
    let base = read_base(path)?;
    let is_explicit = arguments.base.is_some();
    match base {
        Some(document) => Ok(ApplyBase::Document(Box::new(document))),
        None if is_explicit => {
            let message = format!("--base: {} does not exist", path.display());
            Err(CommandError::Usage(message))
        }
        None => Ok(ApplyBase::Absent),
    }
}

fn write_merged(
    dir: &TablesDir,
    base_path: &Path,
    document: &ConfigDocument,
) -> Result<(), CommandError> {
    dir.write(document)?;
    if base_path != dir.base_path() {
        write_base(base_path, document)?;
    }
    Ok(())
}
