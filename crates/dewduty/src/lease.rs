//! Decides which VM holds a duty, with which fencing token, until when.
