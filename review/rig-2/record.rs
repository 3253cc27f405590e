//! What was sent, answered and run, with the time since the scene began.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a scene.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// An empty record.
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { began: Instant::now(), file })
    }

    /// Adds a line.
    pub fn note(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {line}");
        println!("{at:8.3} s  {line}");
    }
}
