//! The story of one request, from the log lines of instances.
//!
//! Lines are JSON objects, one a line, whatever stands before them. Besides the lines of the request
//! the story shows what the instance came to believe of the upstreams that it was sent to, shortly
//! before and while it was there, and says where lines are missing.
//!
//! ```
//! let lines = [r#"{"timestamp":"t","message":"sent","request":"r1","upstream":"u"}"#];
//! let story = vanillakeel_ctl::explain::explain(lines.iter().copied(), "r1");
//! assert!(story.to_string().contains("no end"));
//! ```

use serde_json::{
    Map,
    Value, //
};
use std::fmt;

/// Messages that end the story of a request at an instance.
const ENDS: [&str; 4] = ["answered", "refused", "answer cut", "cancelled"];

/// Messages about what an instance believes.
const BELIEFS: [&str; 8] = [
    "upstream listed",
    "upstream gone",
    "upstream could not be reached",
    "upstream ejected",
    "configuration in force",
    "log lost",
    "log regained",
    "lines left out",
];

/// Lines of beliefs shown before the first line of a request.
const BELIEFS_BEFORE: usize = 6;

/// A line that belongs to the story.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    fields: Map<String, Value>,
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let value: Value = serde_json::from_str(&text[start..]).ok()?;
        let Value::Object(fields) = value else {
            return None;
        };
        Some(Self { fields })
    }

    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    fn is_of(&self, id: &str) -> bool {
        self.text("request") == id
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}  {}", self.text("timestamp"), self.text("message"))?;
        let shown = ["timestamp", "message", "level", "target", "request"];
        for (name, value) in &self.fields {
            if !shown.contains(&name.as_str()) {
                write!(f, "  {name}={value}")?;
            }
        }
        Ok(())
    }
}

/// What the lines tell of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Story {
    id: String,
    lines: Vec<Line>,
    /// Whether a line said that others were left out.
    has_gaps: bool,
}

impl Story {
    /// Whether any line is about the request.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.lines.iter().any(|l| l.is_of(&self.id))
    }

    /// One sentence on how it ended.
    #[must_use]
    pub fn cause(&self) -> String {
        let own = || self.lines.iter().filter(|l| l.is_of(&self.id));
        let Some(end) = own().rfind(|l| ENDS.contains(&l.text("message"))) else {
            return if self.is_known() {
                "no end is on record: the instance stopped or its lines are missing".to_owned()
            } else {
                "no line is about this request".to_owned()
            };
        };
        let sends = own().filter(|l| l.text("message") == "sent").count();
        let miss = own().rfind(|l| l.text("message") == "send failed");
        let miss = miss.map_or(String::new(), |l| {
            format!("; last miss: {}", l.text("reason"))
        });
        let reason = end.text("reason");
        let verdict = end.text("verdict");
        match end.text("message") {
            "answered" => format!("answered after {sends} sends"),
            "refused" => format!("refused as {verdict}: {reason}, after {sends} sends{miss}"),
            "answer cut" => format!(
                "the answer of {} was cut: {reason}, after {sends} sends",
                end.text("upstream")
            ),
            _ => {
                format!("cancelled since the caller left or its time was over, after {sends} sends")
            }
        }
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            let mark = if line.is_of(&self.id) { ' ' } else { '|' };
            writeln!(f, "{mark} {line}")?;
        }
        if self.has_gaps {
            writeln!(f, "lines were left out around this time")?;
        }
        writeln!(f, "{}", self.cause())
    }
}

/// Collects the story of the request `id` from lines in the order of their time.
#[must_use]
pub fn explain<'a>(lines: impl Iterator<Item = &'a str>, id: &str) -> Story {
    let mut before: Vec<Line> = Vec::new();
    let mut story: Vec<Line> = Vec::new();
    let mut is_open = false;
    let mut has_gaps = false;
    for line in lines.filter_map(Line::parse) {
        let message = line.text("message");
        let is_belief = BELIEFS.contains(&message);
        if line.is_of(id) {
            if !is_open {
                story.append(&mut before);
            }
            is_open = !ENDS.contains(&message);
            story.push(line);
        } else if is_belief && is_open {
            has_gaps |= message == "lines left out";
            story.push(line);
        } else if is_belief {
            before.push(line);
            if before.len() > BELIEFS_BEFORE {
                before.remove(0);
            }
        }
    }
    Story {
        id: id.to_owned(),
        lines: story,
        has_gaps,
    }
}
