//! `GET /v1/entry`: the addresses to use.

use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;
use jacinthweir_policy::entry::{EntryConfig, entry_answer};
use jacinthweir_wire::caller::{EntryAnswer, ErrorCode};
use jacinthweir_wire::header;
use salvo::prelude::Json;

/// When to ask again where no instance serves, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// `GET /v1/entry`, without a key: the answer holds nothing but addresses.
pub(crate) struct Entry(pub(crate) Arc<Kernel>);

#[handler]
impl Entry {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let domain = req.header::<String>(header::DOMAIN);
        let answer = answer(&self.0, domain.as_deref());
        if answer.addresses.is_empty() {
            let refusal = Refusal::not_run(ErrorCode::NoConfiguration, "no instance serves");
            refusal.retry_after(RETRY_MS).write(res, None);
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
    // The own phase never goes back, while the configuration may stop being vouched for.
    let serves = cx.config.get().served().is_some();
    let membership = cx.membership();
    let own = &cx.settings.name;
    let live = membership.live().filter(|s| serves || s.name != *own);
    entry_answer(live, domain, &cfg, &mut rand::rng())
}
