//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// Opens `record.txt` in a folder, and empties it.
    pub fn open(folder: &Path, trouble: bool) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        let record = Record {
            file: Mutex::new(file),
            start: Instant::now(),
        };
        record.write(&format!("trouble: {}", u8::from(trouble)));
        record
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {line}", self.seconds());
    }
}
