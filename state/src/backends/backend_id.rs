use {
    serde::{Deserialize, Deserializer, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Name under which a back end is listed; a later incarnation may have the same name.
pub type BackendName = String;

/// Identity of one incarnation of a back end: its name and its start time.
///
/// State learnt about a back end is keyed by this value, so that none of it is applied to
/// another incarnation. A greater start time is a later incarnation. A smaller one may be
/// later too, since clocks can step back: the process that talks to the back end decides.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct BackendId {
    pub name: BackendName,
    /// Unix time of its start in ms; 0 if the platform does not report it.
    #[serde(rename = "born")]
    pub start_time_ms: u64,
}

impl BackendId {
    pub fn new(name: impl Into<BackendName>, start_time_ms: u64) -> Self {
        Self {
            name: name.into(),
            start_time_ms,
        }
    }
    /// Returns whether the back end is unknown.
    pub fn is_empty(&self) -> bool {
        self.name.is_empty()
    }
    /// Returns the name without the start time, as the platform and back ends write it.
    pub fn as_str(&self) -> &str {
        &self.name
    }
    /// Returns whether this is certainly a later incarnation of the same back end.
    pub fn is_later_incarnation_of(&self, other: &Self) -> bool {
        self.name == other.name && self.start_time_ms > other.start_time_ms
    }
}

impl From<&str> for BackendId {
    fn from(name: &str) -> Self {
        Self::new(name, 0)
    }
}

impl From<String> for BackendId {
    fn from(name: String) -> Self {
        Self::new(name, 0)
    }
}

impl Display for BackendId {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self.start_time_ms {
            0 => f.write_str(&self.name),
            born => write!(f, "{}@{born}", self.name),
        }
    }
}

/// Compares with the text form that logs use.
impl PartialEq<&str> for BackendId {
    fn eq(&self, text: &&str) -> bool {
        match text.split_once('@') {
            Some((name, start_time)) => {
                self.name == name && start_time.parse() == Ok(self.start_time_ms)
            }
            None => self.name == *text && self.start_time_ms == 0,
        }
    }
}

/// The encoded forms of an id; older builds write the name alone.
#[derive(Deserialize)]
#[serde(untagged)]
enum EncodedId {
    Name(BackendName),
    NameAndStart(EncodedNameAndStart),
}

#[derive(Deserialize)]
struct EncodedNameAndStart {
    name: BackendName,
    #[serde(rename = "born")]
    start_time_ms: u64,
}

impl<'de> Deserialize<'de> for BackendId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(match EncodedId::deserialize(deserializer)? {
            EncodedId::Name(name) => Self::new(name, 0),
            EncodedId::NameAndStart(id) => Self::new(id.name, id.start_time_ms),
        })
    }
}
