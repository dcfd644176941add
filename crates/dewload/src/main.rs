//! A thin program over the `dewspring` library.

fn main() {}
