//! What a duty is about.

use std::fmt;
use std::str::FromStr;

/// Prefix of the names of subjects that are orders.
const ORDERS: &str = "scale/";

/// Name of the subject of all usage reports.
const USAGE: &str = "usage";

/// What a duty is about; a subject has one holder at a time.
///
/// # Examples
///
/// ```
/// use dewduty::lease::DutySubject;
///
/// let subject = "scale/drafting/cph-a".parse::<DutySubject>().unwrap();
/// assert_eq!(subject.to_string(), "scale/drafting/cph-a");
/// assert!("scale/drafting".parse::<DutySubject>().is_err());
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DutySubject {
    /// Orders for the servers of a service in a data centre.
    Orders {
        /// The service.
        service: String,
        /// The data centre.
        data_centre: String,
    },
    /// All usage reports.
    Usage,
}

/// A name that isn't that of a subject.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not the subject of a duty: {0}")]
pub struct SubjectError(pub String);

impl fmt::Display for DutySubject {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DutySubject::Orders {
                service,
                data_centre,
            } => write!(out, "{ORDERS}{service}/{data_centre}"),
            DutySubject::Usage => out.write_str(USAGE),
        }
    }
}

impl FromStr for DutySubject {
    type Err = SubjectError;

    fn from_str(name: &str) -> Result<Self, SubjectError> {
        if name == USAGE {
            return Ok(DutySubject::Usage);
        }
        let names = name
            .strip_prefix(ORDERS)
            .and_then(|rest| rest.rsplit_once('/'));
        match names {
            Some((service, data_centre)) if !service.is_empty() && !data_centre.is_empty() => {
                Ok(DutySubject::Orders {
                    service: service.to_string(),
                    data_centre: data_centre.to_string(),
                })
            }
            _ => Err(SubjectError(name.to_string())),
        }
    }
}
