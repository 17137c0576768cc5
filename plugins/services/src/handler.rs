//! Handler of the services' calls.

use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;
use salvo::prelude::{FlowCtrl, Handler, async_trait};

use crate::accept::accept;
use crate::answer::Told;
use crate::driver::{Driver, Shared};

/// Routes on the callers' listener.
pub(crate) fn routes(cx: &Arc<Kernel>) -> Vec<Router> {
    let shared = Arc::new(Shared::new(cx));
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

#[async_trait]
impl Handler for Calls {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let accepted = match accept(&self.cx, req).await {
            Ok(accepted) => accepted,
            Err(refusal) => return refusal.write(res, None),
        };
        let (request, rx) = Driver::spawn(&self.cx, &self.shared, accepted);
        match rx.await {
            Ok(Told::Reply(reply)) => reply.write(res, &request),
            Ok(Told::Refused(refusal)) => refusal.write(res, Some(&request)),
            Err(_) => Refusal::internal().write(res, Some(&request)),
        }
    }
}
