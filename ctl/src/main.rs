//! Skeleton.
fn main() {}
