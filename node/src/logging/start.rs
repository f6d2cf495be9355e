use {
    super::BoundedWriter,
    anyhow::{Context, Result},
    flexi_logger::{Logger, LoggerHandle},
    log::{LevelFilter, ParseLevelError},
    std::io,
};

/// Starts logging to standard output, one JSON line per record, with the name of this box in
/// each.
pub fn start(name: &str, level: &str) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(level).context("invalid log level")?;
    let writer = BoundedWriter::start(name, io::stdout());
    let logger = logger.log_to_writer(Box::new(writer));
    logger.start().context("cannot start the logger")
}

/// Checks that a text is a log level. flexi_logger would accept any other word as a module
/// name.
pub fn check_level(level: &str) -> Result<(), ParseLevelError> {
    level.parse::<LevelFilter>().map(|_| ())
}
