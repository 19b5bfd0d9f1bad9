//! Binary.

fn main() {}
