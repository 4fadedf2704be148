//! Runs one case of the second review: `standins-2 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run. With `TROUBLE=0` it does
//! the same without the disruption.

mod cases;
mod http;
mod record;
mod runner;
mod store;
mod system;

use record::Record;
use std::{
    env, fs,
    panic::{AssertUnwindSafe, catch_unwind},
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

/// What a case works with.
pub struct Context {
    /// Temporary folder for the settings and logs of the processes.
    pub dir: PathBuf,
    pub record: Record,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    system::end_after(Duration::from_secs(110));
    let dir = env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let cx = Context {
        dir: dir.clone(),
        record: record.clone(),
        has_trouble,
    };
    let run = cases::find(case);
    let result = catch_unwind(AssertUnwindSafe(|| run(&cx)));
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&dir);
    }
    let Ok(verdict) = result else {
        record.line("the case couldn't run");
        return ExitCode::from(2);
    };
    let (code, text) = match verdict {
        Ok(text) => (0, format!("held: {text}")),
        Err(text) => (1, format!("BROKEN: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
