use {
    super::BoundedWriter,
    anyhow::{Context, Result},
    flexi_logger::{Logger, LoggerHandle},
    log::{LevelFilter, ParseLevelError},
    std::io,
};

/// start logging to standard output, one line of JSON a record, with the name
/// of this process's box in each
pub fn start(name: &str, level: &str) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(level).context("read the log level")?;
    let writer = BoundedWriter::start(name, io::stdout())?;
    let logger = logger.log_to_writer(Box::new(writer));
    logger.start().context("start the log")
}

/// whether a text names a level of the log; flexi_logger itself takes any
/// word for the name of a module
pub fn check_level(level: &str) -> Result<(), ParseLevelError> {
    level.parse::<LevelFilter>().map(|_| ())
}
