//! Decides how many servers a data centre needs.
