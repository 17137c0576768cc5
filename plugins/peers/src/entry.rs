//! `GET /v1/entry`: addresses of the instances that serve.

use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;
use jacinthweir_policy::entry::{EntryConfig, entry_answer};
use jacinthweir_wire::caller::{EntryAnswer, ErrorCode};
use jacinthweir_wire::header;
use salvo::prelude::Json;

/// Retry delay suggested while no instance serves, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Handles `GET /v1/entry`. No key is required, since the answer holds nothing but addresses.
pub(crate) struct EntryHandler(pub(crate) Arc<Kernel>);

#[handler]
impl EntryHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let domain = req.header::<String>(header::DOMAIN);
        let answer = answer(&self.0, domain.as_deref());
        if answer.addresses.is_empty() {
            let refusal = Refusal::not_run(ErrorCode::NoConfiguration, "no instance serves");
            refusal.retry_after(RETRY_AFTER_MS).write(res, None);
        } else {
            res.render(Json(answer));
        }
    }
}

fn answer(cx: &Kernel, domain: Option<&str>) -> EntryAnswer {
    let cfg = EntryConfig {
        ttl_ms: cx.settings.timing.entry_ttl_ms,
        ..EntryConfig::default()
    };
    // The own phase never goes back to an earlier one, but the configuration may become
    // unconfirmed, and then this instance does not serve.
    let serves = cx.config.get().served().is_some();
    let membership = cx.membership();
    let own = &cx.settings.name;
    let live = membership.live().filter(|s| serves || s.name != *own);
    entry_answer(live, domain, &cfg, &mut rand::rng())
}
