//! Stand-ins, load driver and history checker for the tests of jacinthweir.

pub mod bench;
