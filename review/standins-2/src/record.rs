//! What was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    out: Mutex<BufWriter<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self {
            out: Mutex::new(BufWriter::new(file)),
            began: Instant::now(),
        }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut out = self.out.lock().expect("the record");
        let _ = writeln!(out, "{at:9.3} {text}");
    }

    /// Writes a line that is also shown.
    pub fn note(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.now().as_secs_f64());
        let _ = self.out.lock().expect("the record").flush();
    }
}
