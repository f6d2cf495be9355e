use {
    anyhow::{Context, Result},
    flexi_logger::{DeferredNow, Logger, LoggerHandle},
    log::{LevelFilter, ParseLevelError, Record},
    std::{
        io::{self, Write},
        sync::OnceLock,
    },
};

/// name of this process's box, which each line carries; the logger takes a
/// plain function for its format, so the name can't be passed to it
static BOX_NAME: OnceLock<String> = OnceLock::new();

/// start logging to standard error, one line a record, the box's name first
pub fn start(name: &str, level: &str) -> Result<LoggerHandle> {
    // set once; a second start keeps the first name
    let _ = BOX_NAME.set(name.to_string());
    let logger = Logger::try_with_str(level).context("read the log level")?;
    logger.format(format).start().context("start the log")
}

/// whether a text names a level of the log; flexi_logger itself takes any
/// word for the name of a module
pub fn check_level(level: &str) -> Result<(), ParseLevelError> {
    level.parse::<LevelFilter>().map(|_| ())
}

fn format(w: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f");
    let name = BOX_NAME.get().map_or("", String::as_str);
    write!(w, "{time} {name} {} {}", record.level(), record.args())
}
