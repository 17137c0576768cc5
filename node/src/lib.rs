//! The plug-ins of the entry instance, linked on purpose.
//!
//! Plug-ins register themselves at link time; a crate that nothing names would not be linked.

use jacinthweir_callers as _;
use jacinthweir_operators as _;
use jacinthweir_peers as _;
use jacinthweir_schema as _;
use jacinthweir_services as _;
use jacinthweir_upstreams as _;
