//! Plays one case of the review: `standin CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod drain;
mod http;
mod json;
mod keys;
mod machines;
mod refused;
mod shutdown;
mod store;
mod wall;
mod worker;

use std::{
    env, fs,
    path::PathBuf,
    process,
    sync::{Arc, Mutex},
    time::Instant,
};

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
        self.lines.lock().expect("lines").push(line);
    }
}

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() {
    let words: Vec<String> = env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        process::exit(2);
    };
    let record = Record {
        started: Instant::now(),
        lines: Arc::default(),
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = env::temp_dir().join(format!("review-{case}-{}", process::id()));
    fs::create_dir_all(&scratch).expect("a temporary folder");
    let verdict = match case.as_str() {
        "refused" => refused::play(&record, has_trouble, &scratch),
        "drain" => drain::play(&record, has_trouble, &scratch),
        "shutdown" => shutdown::play(&record, has_trouble, &scratch),
        "wall" => wall::play(&record, has_trouble, &scratch),
        "keys" => keys::play(&record, has_trouble, &scratch),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&scratch);
    }
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("the rule held: {text}")),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::NotRun(text) => (2, format!("the case did not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    let lines = record.lines.lock().expect("lines").join("\n");
    fs::write(PathBuf::from(folder).join("record.txt"), lines + "\n").expect("record.txt");
    process::exit(code);
}
