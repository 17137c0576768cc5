//! Hears from other instances: their revisions, which confirm the own one or not, and newer
//! heads, which the peers' exchanges bring. Gives them parts by hash.

use std::time::Duration;

use jacinthweir_kernel::heads::HeardHead;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;
use jacinthweir_policy::config::converge::{Event, PeerView};
use jacinthweir_policy::member::Phase;
use jacinthweir_policy::membership::Member;
use jacinthweir_wire::caller::ErrorCode;
use salvo::prelude::{FlowCtrl, Handler, async_trait};

use crate::drive::drive;

/// Period of looking at the members.
const PERIOD: Duration = Duration::from_millis(100);

/// A gap between two looks that shows that the process was stopped, in milliseconds.
const WOKEN_MS: Millis = 2_000;

/// Looks at the members until the instance stops.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let mut looked_at = cx.elapsed_ms();
    let mut trusted_from = 0;
    loop {
        let now = cx.elapsed_ms();
        // What peers sent before this process was stopped still lies in its sockets and reads
        // like news. Only what is heard a few rounds after waking confirms anything.
        if now > looked_at + WOKEN_MS {
            warn!("stopped for {} ms", now - looked_at);
            trusted_from = now + 2 * cx.settings.timing.gossip_ms;
        }
        looked_at = now;
        drive(&cx, Event::Members(members(&cx, now, trusted_from)));
        for heard in cx.heads.take_heard() {
            let HeardHead { peer, head } = heard;
            drive(&cx, Event::PeerHead { peer, head });
        }
        // Woken at once by a head; the period serves for the confirmations.
        let _ = tokio::time::timeout(PERIOD, cx.heads.arrived()).await;
    }
}

fn members(cx: &Kernel, now: Millis, trusted_from: Millis) -> Vec<PeerView> {
    let mono = cx.clock.now();
    let membership = cx.membership();
    let known = membership
        .others()
        .filter(|m| m.state().phase != Phase::Gone);
    let view = |member: &Member| {
        let heard_at = now.saturating_sub(mono.saturating_sub(member.heard_ms));
        PeerView {
            name: member.state().name.clone(),
            revision: member.state().revision,
            heard_at: (heard_at >= trusted_from).then_some(heard_at),
        }
    };
    known.map(view).collect()
}

/// Routes on the peers' listener.
pub(crate) fn routes(cx: &Arc<Kernel>) -> Vec<Router> {
    vec![Router::with_path("peer/parts/{hash}").get(OwnPart(Arc::clone(cx)))]
}

/// `GET /peer/parts/{hash}`.
struct OwnPart(Arc<Kernel>);

#[async_trait]
impl Handler for OwnPart {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let hash = req.param::<String>("hash").unwrap_or_default();
        match self.0.parts.get(&hash) {
            Some(text) => res.render(text.to_string()),
            None => absent("no such part").write(res, None),
        }
    }
}

fn absent(msg: &str) -> Refusal {
    Refusal::not_run(ErrorCode::NotFound, msg)
}
