//! Explains the routing decisions on one request.

use std::fmt;

use dewspring::admin::ExplainReport;
use serde::Serialize;

use crate::admin::AdminClient;
use crate::error::CommandError;

/// Reports of all daemons on one request.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Reports of the daemons that know the request, in the order of the settings.
    pub reports: Vec<ExplainReport>,
    /// Errors of the daemons that gave no usable answer.
    pub silent: Vec<String>,
}

/// Collects the explanations of a request from all daemons.
///
/// # Errors
///
/// [`CommandError::NotFound`] if no responding daemon knows the request,
/// [`CommandError::Usage`] if `request` is not a valid request id.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dewctl::admin::AdminClient;
/// use dewctl::explain::explain_request;
///
/// let client = AdminClient::new(Vec::new(), "secret", Duration::from_secs(1));
/// assert!(explain_request(&client, "r-1").is_err());
/// ```
pub fn explain_request(client: &AdminClient, request: &str) -> Result<Explanation, CommandError> {
    if !is_request_id(request) {
        let message = "a request id holds only letters, digits, '.', ':', '_' and '-'";
        return Err(CommandError::Usage(message.to_owned()));
    }
    let mut explanation = Explanation {
        reports: Vec::new(),
        silent: Vec::new(),
    };
    for answer in client.fetch_explanations(request) {
        match answer.answer {
            Ok(report) => explanation.reports.extend(report),
            Err(error) => explanation.silent.push(error.to_string()),
        }
    }
    if explanation.reports.is_empty() {
        let mut message = format!("no responding daemon knows request {request}");
        for silent in &explanation.silent {
            message.push('\n');
            message.push_str(silent);
        }
        return Err(CommandError::NotFound(message));
    }
    Ok(explanation)
}

/// Checks that the id is safe to use as a segment of the request path.
fn is_request_id(request: &str) -> bool {
    let is_id_byte = |byte: u8| byte.is_ascii_alphanumeric() || b".:_-".contains(&byte);
    !request.is_empty() && request.bytes().all(is_id_byte)
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for report in &self.reports {
            writeln!(formatter, "request {} on {}", report.request, report.vm)?;
            for step in &report.steps {
                let (at, part, text) = (step.at_ms, &step.part, &step.text);
                writeln!(formatter, "{at:>8} ms  {part}: {text}")?;
            }
        }
        for silent in &self.silent {
            writeln!(formatter, "no answer: {silent}")?;
        }
        Ok(())
    }
}
