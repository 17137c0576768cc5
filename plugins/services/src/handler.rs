//! HTTP handler of service calls.

use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;

use crate::accept::accept;
use crate::answer::CallResult;
use crate::driver::Driver;
use crate::limits::CallLimits;

/// Returns the routes on the callers' listener.
pub(crate) fn routes(cx: &Arc<Kernel>) -> Vec<Router> {
    let limits = CallLimits::open(cx);
    let calls = Calls {
        cx: Arc::clone(cx),
        limits,
    };
    vec![Router::with_path("v1/services/{service}/{call}").post(calls)]
}

struct Calls {
    cx: Arc<Kernel>,
    limits: Arc<CallLimits>,
}

#[handler]
impl Calls {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let accepted = match accept(&self.cx, req).await {
            Ok(accepted) => accepted,
            Err(refusal) => return refusal.write(res, None),
        };
        let org = &accepted.config.schema.orgs()[accepted.caller.org];
        let permit = match self.limits.admit(&self.cx, org) {
            Ok(permit) => permit,
            Err(refusal) => return refusal.write(res, None),
        };
        let (request, rx) = Driver::spawn(&self.cx, &self.limits, accepted, permit);
        match rx.await {
            Ok(CallResult::Reply(reply)) => reply.write(res, &request),
            Ok(CallResult::Refused(refusal)) => refusal.write(res, Some(&request)),
            Err(_) => Refusal::internal().write(res, Some(&request)),
        }
    }
}
