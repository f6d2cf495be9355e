use {
    chalkcart_protocol::peer::{CrashEvent, CrashReport},
    chalkcart_state::ingress::RequestDigest,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// A request under which so many engines have ended, without an end of its own in between,
/// is sent to none any more. One end proves nothing of a single request, as all that ran
/// there are suspected; that an innocent one stood beside the cause three times in a row and
/// was never served is what a retry or two of its client can't bring about. The users' rule
/// counts from the third end on.
pub const CONDEMNED_AFTER: usize = 3;
/// Requests that are remembered at most: 16 ends of engines with 256 requests each. About
/// 0.9 MB when full.
pub const MOST_DIGESTS: usize = 4_096;
/// part of the requests that is forgotten when there are too many
const FORGOTTEN_PART: usize = 4;
/// A request that nobody has tried for so long may be sent again: engines are mended
/// meanwhile, and it costs three of them at most to learn that they were not.
const REMEMBERED: Duration = Duration::from_secs(600);
/// ends of engines that are kept of one request
const MOST_ENDS: usize = CONDEMNED_AFTER + 1;
/// words of one message at most: 72 kB
const MOST_WORDS: usize = 1_000;

/// what is believed of a request
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// no engine has ended under it since it was served last
    Clear,
    /// some have, and any of those that ran beside it may have been the cause
    Suspected { ended: usize },
    /// it ends the engines that run it
    Condemned {
        ended: usize,
        /// age of the newest end
        age: Duration,
    },
}

/// Requests that ran where engines ended.
///
/// Each word in it says what happened and stays true, so books are merged in any order and
/// any number of times: entries tell each other all they know by way of keepers.
#[derive(Debug, Default)]
pub struct CrashBook {
    rows: HashMap<RequestDigest, Row>,
    revision: u64,
}

#[derive(Debug, Clone)]
struct Row {
    /// the newest since it was served last, in order
    ends: Vec<End>,
    served: Option<Noted>,
    /// when it was tried or heard of last
    touched: Instant,
}

#[derive(Debug, Clone, Copy)]
struct End {
    life: u64,
    noted: Noted,
}

/// when something happened, and the book's revision with it
#[derive(Debug, Clone, Copy)]
struct Noted {
    at: Instant,
    revision: u64,
}

impl CrashBook {
    /// rises with each word that is new to the book
    pub fn revision(&self) -> u64 {
        self.revision
    }
    pub fn len(&self) -> usize {
        self.rows.len()
    }
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// what is believed of a request that comes in now
    pub fn judge(&mut self, digest: &RequestDigest, now: Instant) -> Standing {
        let Some(row) = self.rows.get_mut(digest) else {
            return Standing::Clear;
        };
        if row.is_forgotten(now) {
            self.rows.remove(digest);
            return Standing::Clear;
        }
        row.touched = now;
        row.standing(now)
    }

    /// an engine's life ended under a request at this time; says whether that is news
    pub fn on_ended(
        &mut self,
        digest: RequestDigest,
        life: u64,
        at: Instant,
        now: Instant,
    ) -> bool {
        self.note(digest, CrashEvent::Ended { life }, at, now)
    }

    /// A request was run to its end; says whether that is news. It is not where no engine
    /// ended under it, so that a book stays empty while engines live.
    pub fn on_served(&mut self, digest: RequestDigest, now: Instant) -> bool {
        let row = self.rows.get(&digest);
        let is_suspected = row.is_some_and(|row| !row.ends.is_empty());
        is_suspected && self.note(digest, CrashEvent::Served, now, now)
    }

    /// take in what another process knows; says whether any of it is news
    pub fn merge(&mut self, words: &[CrashReport], now: Instant) -> bool {
        let known = self.revision;
        for word in words {
            let age = Duration::from_millis(word.age_ms);
            let at = now.checked_sub(age).unwrap_or(now);
            self.note(word.digest, word.event, at, now);
        }
        self.revision != known
    }

    /// what is known beyond a revision, the oldest first, and the revision up to which it
    /// is told with these words
    pub fn words_after(&self, revision: u64, now: Instant) -> (Vec<CrashReport>, u64) {
        if revision >= self.revision {
            return (Vec::new(), self.revision);
        }
        let mut words: Vec<(u64, CrashReport)> = Vec::new();
        for (digest, row) in &self.rows {
            let newer = row.events().filter(|(_, noted)| noted.revision > revision);
            words.extend(newer.map(|(event, noted)| {
                let age = now.saturating_duration_since(noted.at);
                let word = CrashReport {
                    digest: *digest,
                    event,
                    age_ms: age.as_millis() as u64,
                };
                (noted.revision, word)
            }));
        }
        words.sort_unstable_by_key(|(revision, _)| *revision);
        let told_up_to = match words.get(MOST_WORDS) {
            Some(_) => words[MOST_WORDS - 1].0,
            None => self.revision,
        };
        words.truncate(MOST_WORDS);
        (
            words.into_iter().map(|(_, word)| word).collect(),
            told_up_to,
        )
    }

    fn note(
        &mut self,
        digest: RequestDigest,
        event: CrashEvent,
        at: Instant,
        now: Instant,
    ) -> bool {
        if now.saturating_duration_since(at) >= REMEMBERED {
            return false;
        }
        let noted = Noted {
            at,
            revision: self.revision + 1,
        };
        let row = self.row(digest, now);
        let is_news = match event {
            CrashEvent::Ended { life } => row.add_end(End { life, noted }),
            CrashEvent::Served => row.on_served(noted),
        };
        if is_news {
            self.revision += 1;
        }
        is_news
    }

    fn row(&mut self, digest: RequestDigest, now: Instant) -> &mut Row {
        if self.rows.len() >= MOST_DIGESTS && !self.rows.contains_key(&digest) {
            self.forget_some(now);
        }
        let row = self.rows.entry(digest).or_insert_with(|| Row::new(now));
        row.touched = now;
        row
    }

    /// A caller that sends nothing but requests which end engines must not push out what is
    /// known of others: those with the fewest ends go first, of these the oldest.
    fn forget_some(&mut self, now: Instant) {
        self.rows.retain(|_, row| !row.is_forgotten(now));
        let mut ranked: Vec<(usize, Instant, RequestDigest)> = self
            .rows
            .iter()
            .map(|(digest, row)| (row.ends.len(), row.touched, *digest))
            .collect();
        ranked.sort_unstable();
        let excess = (ranked.len() + MOST_DIGESTS / FORGOTTEN_PART).saturating_sub(MOST_DIGESTS);
        for (_, _, digest) in ranked.into_iter().take(excess) {
            self.rows.remove(&digest);
        }
    }
}

impl Row {
    fn new(now: Instant) -> Self {
        Self {
            ends: Vec::new(),
            served: None,
            touched: now,
        }
    }

    /// a life counts once, and not if the request was served after it
    fn add_end(&mut self, end: End) -> bool {
        let is_known = self.ends.iter().any(|known| known.life == end.life);
        let is_excused = self.served.is_some_and(|served| end.noted.at <= served.at);
        if is_known || is_excused {
            return false;
        }
        // the newest are kept: a run to its end may excuse all others
        let place = self.ends.partition_point(|e| e.noted.at <= end.noted.at);
        let is_older = place == 0 && self.ends.len() >= MOST_ENDS;
        if !is_older {
            self.ends.insert(place, end);
            let excess = self.ends.len().saturating_sub(MOST_ENDS);
            self.ends.drain(..excess);
        }
        !is_older
    }

    /// nothing that happens after is excused by it
    fn on_served(&mut self, noted: Noted) -> bool {
        if self.served.is_some_and(|served| noted.at <= served.at) {
            return false;
        }
        self.served = Some(noted);
        self.ends.retain(|end| end.noted.at > noted.at);
        true
    }

    fn standing(&self, now: Instant) -> Standing {
        let ended = self.ends.len();
        match self.ends.last().map(|end| end.noted.at) {
            None => Standing::Clear,
            Some(at) if ended >= CONDEMNED_AFTER => Standing::Condemned {
                ended,
                age: now.saturating_duration_since(at),
            },
            Some(_) => Standing::Suspected { ended },
        }
    }

    fn events(&self) -> impl Iterator<Item = (CrashEvent, Noted)> + '_ {
        let ends = self.ends.iter();
        let ends = ends.map(|end| (CrashEvent::Ended { life: end.life }, end.noted));
        ends.chain(self.served.map(|noted| (CrashEvent::Served, noted)))
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.touched) >= REMEMBERED
    }
}
