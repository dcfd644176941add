//! What the daemon tells of itself: logs, metrics and recent decisions.
