//! One reading of the list of VMs for all duties of a daemon.

use std::sync::Arc;

use arc_swap::ArcSwapOption;

use super::service::{DirectoryError, VmDirectory, VmEntry};

/// A list of VMs that keeps what it read last.
///
/// One duty reads the platform through it; the others look at the latest
/// reading, which costs the platform nothing. Clones share the reading.
///
/// # Examples
///
/// ```
/// use dewspring::store::{EmbeddedDirectory, CachedDirectory, VmDirectory};
///
/// let directory = CachedDirectory::new(EmbeddedDirectory::open(Vec::new()));
/// assert!(directory.latest().is_none());
/// directory.list()?;
/// assert!(directory.latest().is_some());
/// # Ok::<(), dewspring::store::DirectoryError>(())
/// ```
#[derive(Clone, Debug)]
pub struct CachedDirectory<D> {
    directory: D,
    latest: Arc<ArcSwapOption<Vec<VmEntry>>>,
}

impl<D: VmDirectory> CachedDirectory<D> {
    /// Wraps a list.
    pub fn new(directory: D) -> Self {
        Self {
            directory,
            latest: Arc::default(),
        }
    }

    /// Returns the latest reading without asking the platform.
    pub fn latest(&self) -> Option<Arc<Vec<VmEntry>>> {
        self.latest.load_full()
    }
}

impl<D: VmDirectory> VmDirectory for CachedDirectory<D> {
    fn list(&self) -> Result<Vec<VmEntry>, DirectoryError> {
        let entries = self.directory.list()?;
        self.latest.store(Some(Arc::new(entries.clone())));
        Ok(entries)
    }
}
