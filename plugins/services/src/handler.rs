//! Handler of the services' calls.

use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;

use crate::accept::accept;
use crate::answer::Told;
use crate::driver::Driver;
use crate::shared::Shared;

/// Routes on the callers' listener.
pub(crate) fn routes(cx: &Arc<Kernel>) -> Vec<Router> {
    let shared = Shared::open(cx);
    let calls = Calls {
        cx: Arc::clone(cx),
        shared,
    };
    vec![Router::with_path("v1/services/{service}/{call}").post(calls)]
}

struct Calls {
    cx: Arc<Kernel>,
    shared: Arc<Shared>,
}

#[handler]
impl Calls {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let accepted = match accept(&self.cx, req).await {
            Ok(accepted) => accepted,
            Err(refusal) => return refusal.write(res, None),
        };
        let org = &accepted.config.schema.orgs()[accepted.caller.org];
        let place = match self.shared.enter(&self.cx, org) {
            Ok(place) => place,
            Err(refusal) => return refusal.write(res, None),
        };
        let (request, rx) = Driver::spawn(&self.cx, &self.shared, accepted, place);
        match rx.await {
            Ok(Told::Reply(reply)) => reply.write(res, &request),
            Ok(Told::Refused(refusal)) => refusal.write(res, Some(&request)),
            Err(_) => Refusal::internal().write(res, Some(&request)),
        }
    }
}
