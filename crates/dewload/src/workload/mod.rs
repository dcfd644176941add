//! The description of a workload, parsed from TOML and validated.

mod error;
#[cfg(test)]
mod tests;

pub(crate) use error::WorkloadError;

use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

const DEFAULT_METHOD: &str = "POST";
const DEFAULT_MAX_IN_FLIGHT: usize = 512;
const DEFAULT_TIMEOUT_SECONDS: f64 = 120.0;

/// A whole workload.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(crate) struct WorkloadSpec {
    /// Time during which requests arrive, in seconds.
    pub(crate) duration_seconds: f64,
    /// Maximum number of requests in flight; further ones start late.
    #[serde(default = "default_max_in_flight")]
    pub(crate) max_in_flight: usize,
    /// Time after which a request is abandoned, in seconds.
    #[serde(default = "default_timeout_seconds")]
    pub(crate) timeout_seconds: f64,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub(crate) classes: Vec<ClassSpec>,
    /// The faults to inject, in any order.
    #[serde(default, rename = "fault")]
    pub(crate) faults: Vec<FaultSpec>,
}

/// Whether a late response is useful to the caller.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum LateValue {
    /// It counts as useful work.
    #[default]
    Useful,
    /// It doesn't count as useful work.
    Worthless,
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClassSpec {
    /// Unique name.
    pub(crate) name: String,
    /// Method of the requests.
    #[serde(default = "default_method")]
    pub(crate) method: String,
    /// Path of the requests.
    pub(crate) path: String,
    /// Model that the body names; `None` for plain services.
    pub(crate) model: Option<String>,
    /// Value of the class header; `None` omits the header.
    pub(crate) label: Option<String>,
    /// Workspaces with their shares.
    pub(crate) workspaces: Vec<WorkspaceShare>,
    /// Mean arrivals per second outside of a burst.
    pub(crate) rate_per_second: f64,
    /// Period with a multiplied arrival rate.
    pub(crate) burst: Option<BurstSpec>,
    /// Latency target for the whole response, in milliseconds.
    pub(crate) target_ms: u64,
    /// Latency target for the first token, in milliseconds.
    pub(crate) first_token_ms: Option<u64>,
    /// Whether a response after the target is useful.
    #[serde(default)]
    pub(crate) late: LateValue,
    /// Length of the prompt, or of the body for a plain service.
    pub(crate) prompt_tokens: LengthSpec,
    /// Length of the completion; `None` for plain services.
    pub(crate) answer_tokens: Option<LengthSpec>,
    /// Prefixes that prompts share.
    pub(crate) prefix: Option<PrefixSpec>,
    /// Whether each request carries an idempotency key of its own.
    #[serde(default)]
    pub(crate) keyed: bool,
    /// Percentage of keyed requests that are repeated within a second, through
    /// the next target.
    #[serde(default)]
    pub(crate) repeat_percent: u8,
}

/// A workspace and its share of the class.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(crate) struct WorkspaceShare {
    pub(crate) name: String,
    pub(crate) weight: f64,
}

/// A period in which the arrival rate is multiplied by a factor.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(crate) struct BurstSpec {
    pub(crate) factor: f64,
    pub(crate) start_seconds: f64,
    pub(crate) length_seconds: f64,
}

/// A lognormal distribution of lengths in tokens.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(crate) struct LengthSpec {
    pub(crate) median: f64,
    /// Standard deviation of the logarithm; 0 makes all lengths equal.
    pub(crate) sigma: f64,
    pub(crate) max: u64,
}

/// How prompts share prefixes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(crate) struct PrefixSpec {
    /// Number of different prefixes for each workspace.
    pub(crate) count: u32,
    /// Length of a prefix in tokens.
    pub(crate) tokens: u64,
    /// Percentage of prompts that begin with a shared prefix.
    pub(crate) share_percent: u8,
}

/// A fault that is injected into a stand-in at a given time.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(crate) struct FaultSpec {
    /// Time from the start of the run, in seconds.
    pub(crate) at_seconds: f64,
    /// Name of the server given by a flag, or its address.
    pub(crate) server: String,
    /// JSON object that is posted to the server's `/control` path.
    pub(crate) control: String,
}

/// A fault script in a separate file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct FaultScript {
    #[serde(rename = "fault")]
    faults: Vec<FaultSpec>,
}

fn default_method() -> String {
    DEFAULT_METHOD.to_owned()
}

fn default_max_in_flight() -> usize {
    DEFAULT_MAX_IN_FLIGHT
}

fn default_timeout_seconds() -> f64 {
    DEFAULT_TIMEOUT_SECONDS
}

impl WorkloadSpec {
    /// Parses and validates a workload.
    pub(crate) fn parse(text: &str) -> Result<Self, WorkloadError> {
        let spec: Self = parse_toml(text)?;
        spec.check()?;
        Ok(spec)
    }

    /// Adds the faults of a script.
    pub(crate) fn add_faults(&mut self, script: &str) -> Result<(), WorkloadError> {
        let script: FaultScript = parse_toml(script)?;
        self.faults.extend(script.faults);
        self.check()
    }

    /// Multiplies the arrival rate of every class.
    pub(crate) fn scale_rates(&mut self, factor: f64) {
        for class in &mut self.classes {
            class.rate_per_second *= factor;
        }
    }

    /// Returns whether any class has a burst at a time relative to the start.
    pub(crate) fn is_in_burst(&self, at: Duration) -> bool {
        let at = at.as_secs_f64();
        let bursts = self.classes.iter().filter_map(|class| class.burst.as_ref());
        bursts
            .map(|burst| burst.start_seconds..burst.start_seconds + burst.length_seconds)
            .any(|window| window.contains(&at))
    }

    fn check(&self) -> Result<(), WorkloadError> {
        positive("duration_seconds", self.duration_seconds)?;
        positive("timeout_seconds", self.timeout_seconds)?;
        if self.max_in_flight == 0 {
            return Err(WorkloadError::field("max_in_flight", "is 0"));
        }
        if self.classes.is_empty() {
            return Err(WorkloadError::field("class", "is missing"));
        }
        for (index, class) in self.classes.iter().enumerate() {
            let is_duplicate = self.classes[..index].iter().any(|c| c.name == class.name);
            if is_duplicate {
                return Err(WorkloadError::class(&class.name, "name", "is not unique"));
            }
            class.check().map_err(|error| error.in_class(&class.name))?;
        }
        self.faults.iter().try_for_each(FaultSpec::check)
    }
}

impl ClassSpec {
    /// Returns whether the class calls a model engine.
    pub(crate) fn is_model(&self) -> bool {
        self.model.is_some()
    }

    fn check(&self) -> Result<(), WorkloadError> {
        positive("rate_per_second", self.rate_per_second)?;
        if !self.path.starts_with('/') {
            return Err(WorkloadError::field("path", "does not begin with /"));
        }
        if self.is_model() != self.answer_tokens.is_some() {
            let reason = "is given without a model, or a model without it";
            return Err(WorkloadError::field("answer_tokens", reason));
        }
        if self.repeat_percent > 0 && !self.keyed {
            return Err(WorkloadError::field("repeat_percent", "needs keyed"));
        }
        percent("repeat_percent", self.repeat_percent)?;
        self.check_workspaces()?;
        self.prompt_tokens.check("prompt_tokens")?;
        if let Some(length) = &self.answer_tokens {
            length.check("answer_tokens")?;
        }
        if let Some(burst) = &self.burst {
            positive("burst.factor", burst.factor)?;
            not_negative("burst.start_seconds", burst.start_seconds)?;
            not_negative("burst.length_seconds", burst.length_seconds)?;
        }
        match &self.prefix {
            Some(prefix) if prefix.count == 0 => Err(WorkloadError::field("prefix.count", "is 0")),
            Some(prefix) => percent("prefix.share_percent", prefix.share_percent),
            None => Ok(()),
        }
    }

    fn check_workspaces(&self) -> Result<(), WorkloadError> {
        if self.workspaces.is_empty() {
            return Err(WorkloadError::field("workspaces", "is empty"));
        }
        self.workspaces
            .iter()
            .try_for_each(|share| positive("workspaces.weight", share.weight))
    }
}

impl FaultSpec {
    fn check(&self) -> Result<(), WorkloadError> {
        not_negative("fault.at_seconds", self.at_seconds)?;
        match serde_json::from_str::<Map<String, Value>>(&self.control) {
            Ok(_) => Ok(()),
            Err(_) => Err(WorkloadError::field(
                "fault.control",
                "is not a JSON object",
            )),
        }
    }
}

fn parse_toml<T: DeserializeOwned>(text: &str) -> Result<T, WorkloadError> {
    toml::from_str(text).map_err(|error| WorkloadError::Syntax {
        reason: error.to_string(),
    })
}

impl LengthSpec {
    fn check(&self, field: &str) -> Result<(), WorkloadError> {
        positive(&format!("{field}.median"), self.median)?;
        not_negative(&format!("{field}.sigma"), self.sigma)?;
        if self.max == 0 {
            return Err(WorkloadError::field(&format!("{field}.max"), "is 0"));
        }
        Ok(())
    }
}

fn positive(field: &str, value: f64) -> Result<(), WorkloadError> {
    match value.is_finite() && value > 0.0 {
        true => Ok(()),
        false => Err(WorkloadError::field(field, "is not above 0")),
    }
}

fn not_negative(field: &str, value: f64) -> Result<(), WorkloadError> {
    match value.is_finite() && value >= 0.0 {
        true => Ok(()),
        false => Err(WorkloadError::field(field, "is below 0")),
    }
}

fn percent(field: &str, value: u8) -> Result<(), WorkloadError> {
    match value <= 100 {
        true => Ok(()),
        false => Err(WorkloadError::field(field, "is above 100")),
    }
}
