//! The entry: takes callers' requests and streams answers through.
