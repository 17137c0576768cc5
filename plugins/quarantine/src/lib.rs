//! Quarantine plug-in: evaluates whether the upstreams of broken runs crashed, and persists what is
//! quarantined in the platform.
//!
//! Instances have no persistent state, and all may be lost at once. What is quarantined is therefore
//! written to the platform, and an instance reads it when it starts. Recent changes travel with the
//! exchanges of the peers plug-in. All decisions are made in [`jacinthweir_policy::quarantine`].

mod stored;

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_kernel::plugin;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::prompt_part::PromptPart;
use jacinthweir_policy::quarantine::{CrashReport, Suspect};
use jacinthweir_policy::relay::rendezvous;
use jacinthweir_wire::platform::Condition;
use linkme::distributed_slice;
use tokio::sync::mpsc;

#[distributed_slice(PLUGINS)]
static QUARANTINE: Plugin = Plugin {
    name: "quarantine",
    spawn,
    routes: plugin::no_routes,
    dump,
};

/// Key prefix of the crashes in the platform for which something is quarantined. Each is named by the lifetime
/// that ended.
const KEYS: &str = "quarantine/";

/// Interval between evaluations of broken runs.
const EVALUATE_INTERVAL: Duration = Duration::from_millis(100);

/// Evaluations between two checks whether the platform has all that is quarantined.
const EVALUATIONS_PER_SYNC: u32 = 20;

/// Era with which records are marked as stored: whether the platform still has them is seen in its
/// list.
const STORED_ERA: u64 = 1;

fn spawn(cx: &Arc<Kernel>) -> Result<(), KernelError> {
    cx.spawn(run(Arc::clone(cx)));
    Ok(())
}

fn dump(cx: &Kernel) -> serde_json::Value {
    let quarantine = cx.quarantine();
    let now = cx.clock.now();
    let suspects = quarantine.quarantined(now);
    let suspects: Vec<Vec<String>> = suspects
        .map(|s| s.iter().map(Suspect::to_string).collect())
        .collect();
    let crashes: Vec<CrashReport> = quarantine.causes(now).collect();
    serde_json::json!({ "quarantined": suspects, "crashes": crashes })
}

async fn run(cx: Arc<Kernel>) {
    let (former_tx, former_rx) = mpsc::unbounded_channel();
    let read = stored::read(&cx, former_tx);
    tokio::join!(read, evaluate(&cx, former_rx));
}

/// Evaluates broken runs until the instance stops. `former` brings keys that are not needed any more, since
/// former releases wrote them.
async fn evaluate(cx: &Kernel, mut former: mpsc::UnboundedReceiver<String>) {
    let mut obsolete = BTreeSet::new();
    loop {
        for _ in 0..EVALUATIONS_PER_SYNC {
            tokio::time::sleep(EVALUATE_INTERVAL).await;
            obsolete.extend(cx.evaluate_quarantine().iter().map(key));
        }
        while let Ok(key) = former.try_recv() {
            obsolete.insert(key);
        }
        match sync(cx, &obsolete).await {
            Ok(()) => obsolete.clear(),
            Err(e) => warn!("cannot write what is quarantined: {e}"),
        }
    }
}

/// Writes the crashes for which something is quarantined and that are missing in the platform, and removes
/// what is obsolete there, as far as this instance is its writer.
async fn sync(cx: &Kernel, obsolete: &BTreeSet<String>) -> Result<(), ClientError> {
    let causes: Vec<CrashReport> = {
        let quarantine = cx.quarantine();
        let causes = quarantine.causes(cx.clock.now());
        causes
            .filter(|c| is_writer(cx, &key(&c.lifetime)))
            .collect()
    };
    let obsolete: BTreeSet<&String> = obsolete.iter().filter(|key| is_writer(cx, key)).collect();
    if causes.is_empty() && obsolete.is_empty() {
        return Ok(());
    }
    let mut listed = cx.platform.list(KEYS).await?.objects;
    listed.retain(|o| o.version > 0);
    for object in listed.iter().filter(|o| obsolete.contains(&o.key)) {
        cx.platform.delete(&object.key, object.version).await?;
    }
    for report in causes {
        let key = key(&report.lifetime);
        if !listed.iter().any(|o| o.key == key) {
            let value = serde_json::to_string(&report).unwrap_or_default();
            cx.platform.put(&key, value, Condition::Absent).await?;
        }
        cx.quarantine().mark_stored(&report.lifetime, STORED_ERA);
    }
    Ok(())
}

fn key(lifetime: &Lifetime) -> String {
    let runner = PromptPart::of_content(lifetime.runner.as_bytes());
    format!("{KEYS}{runner}-{}", lifetime.born_ms)
}

/// Whether this instance is the one that writes an object.
fn is_writer(cx: &Kernel, key: &str) -> bool {
    let membership = cx.membership();
    let names = membership.live().map(|m| &m.name);
    rendezvous::is_first_for(&cx.settings.name, names, key)
}
