use {
    anyhow::{Context, Result},
    serde_json::{Map, Value},
    std::{
        fs,
        io::{self, Read},
    },
};

/// one line of a log
#[derive(Debug, Clone)]
pub struct LogLine {
    pub clock_ms: i64,
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// read a line; what stands before its JSON is passed over
    fn read(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let clock_ms = fields.get("clock_ms")?.as_i64()?;
        Some(Self { clock_ms, fields })
    }
    /// a text of the line, empty if it has none
    pub fn text(&self, key: &str) -> &str {
        let value = self.fields.get(key).and_then(Value::as_str);
        value.unwrap_or_default()
    }
    /// a number of the line
    pub fn number(&self, key: &str) -> Option<f64> {
        self.fields.get(key)?.as_f64()
    }
    /// whether it is this message of this part of a process
    pub fn is(&self, part: &str, message: &str) -> bool {
        self.text("part") == part && self.text("message") == message
    }
}

/// the lines of these files, or of standard input if there are none
pub fn read_lines(files: &[String]) -> Result<Vec<LogLine>> {
    let mut text = String::new();
    if files.is_empty() {
        io::stdin()
            .read_to_string(&mut text)
            .context("read standard input")?;
    }
    for file in files {
        text.push_str(&fs::read_to_string(file).with_context(|| format!("read {file}"))?);
        text.push('\n');
    }
    Ok(text.lines().filter_map(LogLine::read).collect())
}
