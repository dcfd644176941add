//! For how long callers may take up streams, and of which services.
//!
//! Both follow from the tables, but a stream is handled by the tables under
//! which it began. What an earlier table permitted therefore holds until the
//! streams that began under it have ended. See [`crate::versions`] for what
//! depends on it.
//!
//! The main invariant: a change of the tables shortens the TTL, or excludes a
//! service, only once no stream from before the change can be taken up.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::clock::Moment;
use crate::tables::RouteTable;

/// Multiple of the longest timeout of a streaming route for which a stream can
/// be taken up. Its caller may do so until its own deadline.
const TTL_FACTOR: u32 = 2;

/// Time for which streams can be taken up before the tables are loaded.
const DEFAULT_TTL: Duration = Duration::from_secs(60);

/// A TTL of earlier tables.
#[derive(Clone, Copy, Debug)]
struct EarlierTtl {
    ttl: Duration,
    until: Moment,
}

/// For how long streams can be taken up, and the services that serve them.
///
/// # Examples
///
/// ```
/// use dewedge::stream_terms::StreamTerms;
/// use std::time::Duration;
///
/// let seconds = Duration::from_secs;
/// let mut terms = StreamTerms::default();
/// terms.replace(Some(seconds(15)), ["draft".to_string()], seconds(100));
/// terms.replace(Some(seconds(1)), [], seconds(200));
/// assert_eq!(terms.ttl(seconds(229)), seconds(30));
/// assert!(terms.is_resumable("draft", seconds(229)));
/// assert_eq!(terms.ttl(seconds(231)), seconds(2));
/// assert!(!terms.is_resumable("draft", seconds(231)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamTerms {
    /// TTL of the tables in force, once there are any.
    current: Option<Duration>,
    earlier: Vec<EarlierTtl>,
    /// Services with streams that can be taken up by the tables in force.
    services: IndexSet<String>,
    /// Services that had such streams by earlier tables, and until when.
    earlier_services: IndexMap<String, Moment>,
}

impl StreamTerms {
    /// Applies the tables that come into force.
    pub fn apply_tables(&mut self, table: &RouteTable, now: Moment) {
        let services = table.resumable_services().map(str::to_string);
        self.replace(table.longest_stream_timeout(), services, now);
    }

    /// Replaces the longest timeout of a streaming route, and the services with
    /// streams that can be taken up.
    pub fn replace(
        &mut self,
        longest_timeout: Option<Duration>,
        services: impl IntoIterator<Item = String>,
        now: Moment,
    ) {
        let ttl = longest_timeout.map_or(DEFAULT_TTL, |time| time.saturating_mul(TTL_FACTOR));
        let until = now.saturating_add(self.ttl(now));
        self.earlier_services.retain(|_, until| *until >= now);
        for service in std::mem::replace(&mut self.services, services.into_iter().collect()) {
            self.earlier_services.insert(service, until);
        }
        self.earlier.retain(|earlier| earlier.until >= now);
        if let Some(replaced) = self.current.replace(ttl) {
            let earlier = EarlierTtl {
                ttl: replaced,
                until: now.saturating_add(replaced),
            };
            // No shorter TTL holds for longer than this one.
            self.earlier.retain(|other| other.ttl > earlier.ttl);
            self.earlier.push(earlier);
        }
    }

    /// Returns for how long a stream can be taken up after it began.
    pub fn ttl(&self, now: Moment) -> Duration {
        let earlier = self.earlier.iter().filter(|earlier| earlier.until >= now);
        let longest = earlier.map(|earlier| earlier.ttl).max();
        longest.max(self.current).unwrap_or(DEFAULT_TTL)
    }

    /// Returns whether streams of a service can be taken up.
    pub fn is_resumable(&self, service: &str, now: Moment) -> bool {
        let until = self.earlier_services.get(service);
        self.services.contains(service) || until.is_some_and(|until| *until >= now)
    }
}
