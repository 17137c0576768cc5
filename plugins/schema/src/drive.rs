//! Passes events to the convergence and executes its actions.

use jacinthweir_kernel::config::{Config, InForce};
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::config::converge::{Action, Alarm, Applied, Convergence, Event};
use jacinthweir_policy::member::Phase;

use crate::worker::SchemaWorker;
use crate::{fetch, republish};

/// Handles an event.
///
/// Actions that change the revision in force are executed under the lock: two tasks could otherwise
/// put two revisions in force in the wrong order.
pub(crate) fn drive(cx: &Arc<Kernel>, event: Event) {
    let mut convergence = cx.convergence();
    let actions = convergence.handle(cx.elapsed_ms(), event);
    for action in actions {
        match action {
            Action::Fetch { part, from } => fetch::spawn(cx, part, from),
            Action::PutInForce(applied) => put_in_force(cx, &convergence, &applied),
            Action::Republish { head, over } => republish::spawn(cx, head, over),
            Action::Raise(alarm) => raise_alarm(&alarm),
        }
    }
    refresh_serving(cx, &convergence);
}

/// Handles, on the schema worker, an event that may put a revision in force.
pub(crate) async fn drive_on_worker(cx: &Arc<Kernel>, event: Event) {
    let worker = SchemaWorker::of(cx);
    let cx = Arc::clone(cx);
    worker.run(move || drive(&cx, event)).await;
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
    update_own_record(cx, head.revision, since);
    info!(revision = head.revision; "revision {} is in force", head.revision);
    metrics::gauge!("jacinthweir_config_revision").set(head.revision as f64);
}

/// Updates the own membership record at once instead of in the next gossip round: an operator may
/// ask for the status right after an apply, and the next exchange should carry the new revision.
fn update_own_record(cx: &Kernel, revision: u64, since_unix_ms: Millis) {
    let mut membership = cx.membership();
    membership.set_revision(revision, since_unix_ms);
    if cx.is_ready() {
        membership.set_phase(Phase::Serving);
    }
}

/// Updates whether requests are served from the confirmations of the revision in force.
fn refresh_serving(cx: &Kernel, convergence: &Convergence) {
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
                "revision {revision} was not confirmed in time by the platform or by a majority of \
                 the instances: refusing requests"
            );
            metrics::counter!("jacinthweir_config_unconfirmed_total").increment(1);
            cx.config.set(Config::Unconfirmed(Arc::clone(in_force)));
        }
        _ => {}
    }
}

fn raise_alarm(alarm: &Alarm) {
    let kind = match alarm {
        Alarm::HeadRolledBack { .. } => "head_went_back",
        Alarm::HeadForeign { .. } => "head_foreign",
        Alarm::HeadUnusable { .. } => "head_unusable",
    };
    metrics::counter!("jacinthweir_config_alarms_total", "alarm" => kind).increment(1);
    error!(alarm = kind; "{alarm}");
}
