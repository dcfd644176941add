//! Counts started requests by window and workspace, merged over all VMs.
