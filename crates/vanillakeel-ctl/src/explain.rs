//! Reconstructs the history of one request from the log lines of instances.
//!
//! [`explain`] takes text lines that each hold one JSON object; anything before the first `{` is
//! ignored, as are lines that can't be parsed. The returned [`History`] holds the lines of the
//! request and, between them, the changes in the state of upstreams, of the configuration and of the
//! log connection at the instance, from shortly before the request until its end. It also says where
//! lines are missing.
//!
//! ```
//! let lines = [r#"{"timestamp":"t","message":"sent","request":"r1","upstream":"u"}"#];
//! let history = vanillakeel_ctl::explain::explain(lines.iter().copied(), "r1");
//! assert!(history.to_string().contains("no end"));
//! ```

use serde_json::{
    Map,
    Value, //
};
use std::fmt;

/// Messages of the last line that an instance writes about a request.
const FINAL_MESSAGES: [&str; 5] = [
    "answered",
    "refused",
    "answer cut",
    "cancelled",
    "caller left",
];

/// Messages about changes at an instance that may explain how a request went.
const STATE_MESSAGES: [&str; 17] = [
    "upstreams known",
    "upstream listed",
    "upstream gone",
    "upstream could not be reached",
    "upstream ejected",
    "upstream says that it leaves",
    "upstream wants a pause",
    "upstream takes requests after its pause",
    "rate limit named",
    "rate limit changed",
    "rate limit ended",
    "newer configuration announced",
    "configuration in force",
    "configuration confirmed again",
    "log lost",
    "log regained",
    "lines left out",
];

/// Maximum number of state changes shown before the first line of a request.
const STATE_LINES_BEFORE: usize = 6;

/// A parsed log line.
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

    fn str_field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    fn is_about(&self, request_id: &str) -> bool {
        self.str_field("request") == request_id
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}  {}",
            self.str_field("timestamp"),
            self.str_field("message")
        )?;
        let excluded = ["timestamp", "message", "level", "target", "request"];
        for (name, value) in &self.fields {
            if !excluded.contains(&name.as_str()) {
                write!(f, "  {name}={value}")?;
            }
        }
        Ok(())
    }
}

/// The lines about a request, with the state changes around them.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    request_id: String,
    lines: Vec<Line>,
    /// Whether the instance logged, while the request was open, that it left out lines.
    has_gaps: bool,
}

impl History {
    /// Returns whether any line is about the request.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.lines.iter().any(|l| l.is_about(&self.request_id))
    }

    /// Returns a phrase on how the request ended.
    #[must_use]
    pub fn cause(&self) -> String {
        let request_lines = || self.lines.iter().filter(|l| l.is_about(&self.request_id));
        let Some(last) =
            request_lines().rfind(|l| FINAL_MESSAGES.contains(&l.str_field("message")))
        else {
            return if self.is_known() {
                "no end is on record: the instance stopped or its lines are missing".to_owned()
            } else {
                "no line is about this request".to_owned()
            };
        };
        let send_count = request_lines()
            .filter(|l| l.str_field("message") == "sent")
            .count();
        let failure = request_lines().rfind(|l| l.str_field("message") == "send failed");
        let failure = failure.map_or(String::new(), |l| {
            format!("; last miss: {}", l.str_field("reason"))
        });
        let reason = last.str_field("reason");
        let verdict = last.str_field("verdict");
        match last.str_field("message") {
            "answered" => format!("answered after {send_count} sends"),
            "refused" => {
                format!("refused as {verdict}: {reason}, after {send_count} sends{failure}")
            }
            "answer cut" => format!(
                "the answer of {} was cut: {reason}, after {send_count} sends",
                last.str_field("upstream")
            ),
            _ => {
                format!(
                    "cancelled since the caller left or its time was over, after {send_count} sends"
                )
            }
        }
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            let mark = if line.is_about(&self.request_id) {
                ' '
            } else {
                '|'
            };
            writeln!(f, "{mark} {line}")?;
        }
        if self.has_gaps {
            writeln!(f, "lines were left out around this time")?;
        }
        writeln!(f, "{}", self.cause())
    }
}

/// Collects the history of the request `request_id` from lines in chronological order.
#[must_use]
pub fn explain<'a>(lines: impl Iterator<Item = &'a str>, request_id: &str) -> History {
    let mut preceding: Vec<Line> = Vec::new();
    let mut history: Vec<Line> = Vec::new();
    let mut is_open = false;
    let mut has_gaps = false;
    for line in lines.filter_map(Line::parse) {
        let message = line.str_field("message");
        let is_state_change = STATE_MESSAGES.contains(&message);
        if line.is_about(request_id) {
            if !is_open {
                history.append(&mut preceding);
            }
            is_open = !FINAL_MESSAGES.contains(&message);
            history.push(line);
        } else if is_state_change && is_open {
            has_gaps |= message == "lines left out";
            history.push(line);
        } else if is_state_change {
            preceding.push(line);
            if preceding.len() > STATE_LINES_BEFORE {
                preceding.remove(0);
            }
        }
    }
    History {
        request_id: request_id.to_owned(),
        lines: history,
        has_gaps,
    }
}
