//! A cached list of VMs, which all components of a daemon share.

use std::sync::Arc;

use arc_swap::ArcSwapOption;

use super::platform::{DirectoryError, VmDirectory, VmEntry};

/// A list of VMs that caches the result of its last read.
///
/// One component reads the platform's list through it; the others use the
/// cached list, without a call to the platform. Clones share the cache.
///
/// # Examples
///
/// ```
/// use dewspring::store::{CachedDirectory, EmbeddedDirectory, VmDirectory};
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
    /// Wraps a list, with an empty cache.
    pub fn new(directory: D) -> Self {
        Self {
            directory,
            latest: Arc::default(),
        }
    }

    /// Returns the cached list; `None` before the first read.
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
