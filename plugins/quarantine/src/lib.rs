//! Quarantine plug-in: evaluates whether the upstreams of broken runs crashed, and persists what is
//! quarantined in the platform.
//!
//! Instances have no persistent state, and all may be lost at once. What is quarantined is therefore
//! written to the platform, and an instance reads it when it starts. Recent changes travel with the
//! exchanges of the peers plug-in. All decisions are made in [`jacinthweir_policy::quarantine`].

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_kernel::plugin;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::quarantine::{CrashRecord, Suspect};
use jacinthweir_policy::relay::rendezvous;
use jacinthweir_wire::platform::Condition;
use linkme::distributed_slice;

#[distributed_slice(PLUGINS)]
static QUARANTINE: Plugin = Plugin {
    name: "quarantine",
    spawn,
    routes: plugin::no_routes,
    dump,
};

/// Key prefix of the records in the platform. Each is named by its suspect.
const KEYS: &str = "quarantine/";

/// Interval between evaluations of broken runs.
const EVALUATE_INTERVAL: Duration = Duration::from_millis(100);

/// Evaluations between two checks whether the platform has all that is quarantined.
const EVALUATIONS_PER_SYNC: u32 = 20;

/// Pause after a failed read from the platform.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Era with which records are marked as stored: whether the platform still has them is seen in its
/// list.
const STORED_ERA: u64 = 1;

fn spawn(cx: &Arc<Kernel>) -> Result<(), KernelError> {
    cx.spawn(run(Arc::clone(cx)));
    Ok(())
}

fn dump(cx: &Kernel) -> serde_json::Value {
    let quarantine = cx.quarantine();
    let quarantined: Vec<CrashRecord> = quarantine.quarantined(cx.clock.now()).collect();
    serde_json::json!({ "quarantined": quarantined })
}

async fn run(cx: Arc<Kernel>) {
    while let Err(e) = read(&cx).await {
        debug!("cannot read what is quarantined: {e}");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    let mut obsolete = BTreeSet::new();
    loop {
        for _ in 0..EVALUATIONS_PER_SYNC {
            tokio::time::sleep(EVALUATE_INTERVAL).await;
            obsolete.extend(cx.evaluate_quarantine());
        }
        match sync(&cx, &obsolete).await {
            Ok(()) => obsolete.clear(),
            Err(e) => warn!("cannot write what is quarantined: {e}"),
        }
    }
}

/// Reads what is quarantined from the platform.
async fn read(cx: &Kernel) -> Result<(), ClientError> {
    let listed = cx.platform.list(KEYS).await?;
    let mut records = Vec::new();
    for object in listed.objects.iter().filter(|o| o.version > 0) {
        let Some(object) = cx.platform.get(&object.key).await? else {
            continue;
        };
        match serde_json::from_str::<CrashRecord>(&object.value) {
            Ok(record) => records.push(record),
            Err(e) => warn!("bad crash record {}: {e}", object.key),
        }
    }
    if !records.is_empty() {
        info!(held = records.len(); "quarantine read");
    }
    cx.merge_crash_records(&records);
    Ok(())
}

/// Writes what is quarantined and missing in the platform, and removes what is obsolete there, as far
/// as this instance is its writer.
async fn sync(cx: &Kernel, obsolete: &BTreeSet<Suspect>) -> Result<(), ClientError> {
    let quarantined: Vec<CrashRecord> = {
        let records = cx.quarantine();
        let records = records.quarantined(cx.clock.now());
        records.filter(|r| is_writer(cx, r.suspect)).collect()
    };
    let obsolete = obsolete.iter().filter(|s| is_writer(cx, **s));
    let obsolete: BTreeSet<String> = obsolete.map(|s| key(*s)).collect();
    if quarantined.is_empty() && obsolete.is_empty() {
        return Ok(());
    }
    let mut listed = cx.platform.list(KEYS).await?.objects;
    listed.retain(|o| o.version > 0);
    for object in listed.iter().filter(|o| obsolete.contains(&o.key)) {
        cx.platform.delete(&object.key, object.version).await?;
    }
    for record in quarantined {
        let key = key(record.suspect);
        if !listed.iter().any(|o| o.key == key) {
            let value = serde_json::to_string(&record).unwrap_or_default();
            cx.platform.put(&key, value, Condition::Absent).await?;
        }
        cx.quarantine().mark_stored(record.suspect, STORED_ERA);
    }
    Ok(())
}

fn key(suspect: Suspect) -> String {
    format!("{KEYS}{suspect}")
}

/// Whether this instance is the one that writes a suspect's record.
fn is_writer(cx: &Kernel, suspect: Suspect) -> bool {
    let membership = cx.membership();
    let names = membership.live().map(|m| &m.name);
    rendezvous::is_first_for(&cx.settings.name, names, &suspect.to_string())
}
