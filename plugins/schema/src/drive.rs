//! Feeds events to the convergence and carries out its actions.

use jacinthweir_kernel::config::{Config, InForce};
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::config::converge::{Action, Alarm, Applied, Convergence, Event};
use jacinthweir_policy::member::Phase;

use crate::long::LongSteps;
use crate::{fetch, republish};

/// Takes an event in. Actions that change what is in force are carried out under the lock: two
/// tasks could otherwise put two revisions in force in the wrong order.
pub(crate) fn drive(cx: &Arc<Kernel>, event: Event) {
    let mut convergence = cx.convergence();
    let actions = convergence.handle(cx.elapsed_ms(), event);
    for action in actions {
        match action {
            Action::Fetch { part, from } => fetch::spawn(cx, part, from),
            Action::PutInForce(applied) => put_in_force(cx, &convergence, &applied),
            Action::Republish { head, over } => republish::spawn(cx, head, over),
            Action::Raise(alarm) => raise(&alarm),
        }
    }
    refresh(cx, &convergence);
}

/// Takes an event in that may put a revision in force, on the thread for long steps.
pub(crate) async fn drive_long(cx: &Arc<Kernel>, event: Event) {
    let steps = LongSteps::of(cx);
    let cx = Arc::clone(cx);
    steps.run(move || drive(&cx, event)).await;
}

fn put_in_force(cx: &Arc<Kernel>, convergence: &Convergence, applied: &Applied) {
    let head = &applied.head;
    for part in &head.parts {
        if let Some(text) = convergence.part_text(&part.hash) {
            cx.parts.insert(part.hash.clone(), Arc::clone(text));
        }
    }
    cx.parts
        .retain(|hash| head.parts.iter().any(|part| *part.hash == *hash));
    let since = cx.clock.unix_ms();
    let in_force = InForce::new(head.revision, since, Arc::clone(&applied.schema));
    in_force.set_serve_until(convergence.serve_until());
    cx.config.set(Config::InForce(Arc::new(in_force)));
    publish(cx, head.revision, since);
    info!(revision = head.revision; "revision {} is in force", head.revision);
    metrics::gauge!("jacinthweir_config_revision").set(head.revision as f64);
}

/// Brings the own record up to date at once, and not with the next round: an operator who has just
/// applied asks for the status, and the next exchange is to carry it.
fn publish(cx: &Kernel, revision: u64, since_unix_ms: Millis) {
    let mut membership = cx.membership();
    membership.set_revision(revision, since_unix_ms);
    if cx.is_ready() {
        membership.set_phase(Phase::Serving);
    }
}

/// Keeps what requests are served by in step with the confirmations.
fn refresh(cx: &Kernel, convergence: &Convergence) {
    let config = cx.config.get();
    let Some(in_force) = config.known() else {
        return;
    };
    in_force.set_serve_until(convergence.serve_until());
    let serves = in_force.may_serve(cx.elapsed_ms());
    match (&config, serves) {
        (Config::Unconfirmed(_), true) => {
            info!("revision {} is confirmed again", in_force.revision);
            cx.config.set(Config::InForce(Arc::clone(in_force)));
        }
        (Config::InForce(_), false) => {
            let revision = in_force.revision;
            warn!(
                "revision {revision} is confirmed neither by the platform nor by a majority of \
                 the instances for too long: requests are refused"
            );
            metrics::counter!("jacinthweir_config_unconfirmed_total").increment(1);
            cx.config.set(Config::Unconfirmed(Arc::clone(in_force)));
        }
        _ => {}
    }
}

fn raise(alarm: &Alarm) {
    let kind = match alarm {
        Alarm::HeadRolledBack { .. } => "head_went_back",
        Alarm::HeadForeign { .. } => "head_foreign",
        Alarm::HeadUnusable { .. } => "head_unusable",
    };
    metrics::counter!("jacinthweir_config_alarms_total", "alarm" => kind).increment(1);
    error!(alarm = kind; "{alarm}");
}
