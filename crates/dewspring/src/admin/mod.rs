//! The address for operators and machines: health, metrics, state and drains.
