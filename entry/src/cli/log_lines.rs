use {
    anyhow::{Context, Result},
    serde_json::{Map, Value},
    std::{
        fs,
        io::{self, Read},
    },
};

/// A structured line of a log.
#[derive(Debug, Clone)]
pub struct LogLine {
    pub clock_ms: i64,
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line, ignoring any text in front of its JSON object.
    fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let clock_ms = fields.get("clock_ms")?.as_i64()?;
        Some(Self { clock_ms, fields })
    }
    /// Returns a text field, or an empty text if there is none.
    pub fn text(&self, key: &str) -> &str {
        let value = self.fields.get(key).and_then(Value::as_str);
        value.unwrap_or_default()
    }
    pub fn number(&self, key: &str) -> Option<f64> {
        self.fields.get(key)?.as_f64()
    }
    /// Returns whether the line has this message, logged by this part of a process.
    pub fn is(&self, part: &str, message: &str) -> bool {
        self.text("part") == part && self.text("message") == message
    }
}

/// Reads the lines of these files, or of standard input if no file is given.
pub fn read_lines(files: &[String]) -> Result<Vec<LogLine>> {
    let mut text = String::new();
    if files.is_empty() {
        io::stdin()
            .read_to_string(&mut text)
            .context("cannot read standard input")?;
    }
    for file in files {
        text.push_str(&fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?);
        text.push('\n');
    }
    Ok(text.lines().filter_map(LogLine::parse).collect())
}
