//! Instances of the system as separate processes, with the settings of the deploy file.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::{http, sys};

/// The program of the deploy file.
const PROGRAM: &str = "target/release/jacinthweir";

/// Template of the settings in the deploy file.
const TEMPLATE: &str = "deploy/settings.jsonc";

/// Placeholder of the template that is filled in anew at each start.
const BOOTSTRAP: &str = "{{bootstrap|json}}";

/// The figures of a small deployment that the template asks for.
const FIELDS: [(&str, &str); 8] = [
    ("{{limits.cpuShare}}", "0.25"),
    ("{{limits.cores}}", "1"),
    ("{{bounds.revokeMs}}", "5000"),
    ("{{bounds.graceS}}", "8"),
    ("{{bounds.budgetRatio}}", "0.2"),
    ("{{bounds.budgetSlack}}", "196"),
    ("{{bounds.budgetWindowS}}", "10"),
    ("{{zone}}", "kesklinn"),
];

/// Processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Records that a process was started.
pub fn note_started(pid: u32) {
    STARTED.lock().unwrap().push(pid);
}

/// Kills all processes that were started and may still run.
pub fn kill_all() {
    let started = STARTED.lock().unwrap();
    started
        .iter()
        .for_each(|pid| sys::signal(*pid, sys::SIGKILL));
}

/// Addresses of an instance.
#[derive(Clone, Debug)]
pub struct Addresses {
    pub name: String,
    ip: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
}

/// An instance of the system.
pub struct Instance {
    pub addresses: Addresses,
    /// Whether the whole system starts for the first time.
    is_first_start: bool,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn free(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

fn render(template: &str, own: &Addresses, all: &[Addresses], store: SocketAddr) -> String {
    let seeds: Vec<String> = all
        .iter()
        .take(3)
        .map(|a| format!("\"{}\"", a.control))
        .collect();
    let mut text = template.replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", &seeds.join(","));
    let own_fields = [
        ("{{node}}", own.name.clone()),
        ("{{ip}}", own.ip.clone()),
        ("{{listen.front}}", own.front.to_string()),
        ("{{listen.ready}}", own.ready.to_string()),
        ("{{listen.directory}}", own.directory.to_string()),
        ("{{listen.control}}", own.control.to_string()),
        ("{{platform.address}}", store.to_string()),
    ];
    for (name, value) in own_fields {
        text = text.replace(name, &value);
    }
    for (name, value) in FIELDS {
        text = text.replace(name, value);
    }
    text
}

/// Starts `count` instances whose files are in `folder`.
pub fn spawn(count: usize, store: SocketAddr, folder: &Path) -> io::Result<Vec<Instance>> {
    let template = fs::read_to_string(TEMPLATE)?;
    let all: Vec<Addresses> = (1..=count)
        .map(|i| {
            let ip = format!("127.0.77.{i}");
            Addresses {
                name: format!("front-kesklinn-{i}"),
                front: free(&ip),
                ready: free(&ip),
                directory: free(&ip),
                control: free(&ip),
                ip,
            }
        })
        .collect();
    let mut instances = Vec::new();
    for addresses in &all {
        let settings = folder.join(format!("{}.jsonc", addresses.name));
        fs::write(&settings, render(&template, addresses, &all, store))?;
        let mut instance = Instance {
            addresses: addresses.clone(),
            is_first_start: true,
            settings,
            log: folder.join(format!("{}.log", addresses.name)),
            child: None,
        };
        instance.start()?;
        instances.push(instance);
    }
    Ok(instances)
}

impl Instance {
    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        self.end();
        let settings = fs::read_to_string(&self.settings)?;
        let first_start = self.is_first_start.to_string();
        fs::write(&self.settings, settings.replace(BOOTSTRAP, &first_start))?;
        if !std::mem::take(&mut self.is_first_start) {
            let again = settings.replace("\"first_start\": true", "\"first_start\": false");
            fs::write(&self.settings, again)?;
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg("--relay-settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_started(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            sys::signal(child.id(), signal);
        }
    }

    /// Returns the processor time that the process has used.
    pub fn processor_time(&self) -> Duration {
        let pid = self.child.as_ref().map_or(0, Child::id);
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let (_, fields) = stat.rsplit_once(')').unwrap_or_default();
        let fields: Vec<i64> = fields.split(' ').filter_map(|f| f.parse().ok()).collect();
        // After the state, which is no number: user and system time are the 11th and the 12th.
        let ticks: i64 = fields.iter().skip(10).take(2).sum();
        Duration::from_millis(ticks.unsigned_abs() * 10)
    }

    /// Returns the last line that the process logged.
    pub fn last_line(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().last().unwrap_or("").to_owned()
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ready = http::get(self.addresses.ready, "/api/ready", Duration::from_secs(1));
            if ready.is_ok_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Instance {
    /// Kills the process, if it runs, and waits for its end.
    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.end();
    }
}
