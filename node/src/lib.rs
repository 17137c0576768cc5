//! Links the plug-ins of the entry instance.
//!
//! Plug-ins register themselves at link time; the linker would drop a crate that nothing refers to.

use jacinthweir_callers as _;
use jacinthweir_operators as _;
use jacinthweir_peers as _;
use jacinthweir_quarantine as _;
use jacinthweir_schema as _;
use jacinthweir_services as _;
use jacinthweir_upstreams as _;
