//! Whether the head of a response tells for sure where its body ends.

use {
    http::{
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
        HeaderMap, Response, StatusCode, Version,
    },
    thiserror::Error,
};

const CHUNKED: &str = "chunked";
/// The coding that earlier versions of the protocol name for none.
const IDENTITY: &str = "identity";
/// The names of the fields that frame a body, as they stand before its value.
const FRAMING_FIELDS: [&str; 2] = ["content-length:", "transfer-encoding:"];
/// Prefix of names that are nobody's but their sender's.
const PRIVATE_PREFIX: &str = "x-";
/// Bytes in which a spoilt name differs from the right one at most.
const MAX_SPOILT_BYTES: usize = 2;

/// Why the body after a head can't be trusted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeadFault {
    #[error("status {0} ends no request")]
    Status(StatusCode),
    #[error("status {0} has no body, but its head has a length or a coding")]
    NoBody(StatusCode),
    #[error("a transfer coding that is not chunked alone")]
    Coding,
    #[error("a length beside a transfer coding")]
    LengthAndCoding,
    #[error("a length that is not one number")]
    Length,
    #[error("header {0:?} is nearly one that frames the body")]
    NearlyFraming(String),
}

/// Checks the head of a response, and returns the length that it declares.
///
/// A caller gets what its engine sent, or a failure: a body whose end is only guessed may be cut,
/// may have the sizes of its chunks in it, or the start of what the next caller gets.
///
/// # Errors
/// Fails if its status is none of a final response, or if it contradicts itself on where its body
/// ends.
pub fn check_head<B>(response: &mut Response<B>) -> Result<Option<u64>, HeadFault> {
    let (status, headers) = (response.status(), response.headers());
    if !(200..600).contains(&status.as_u16()) {
        return Err(HeadFault::Status(status));
    }
    check_names(headers)?;
    let is_coded = is_coded(headers, response.version())?;
    let length = length(headers)?;
    // beside any coding the reader leaves the length out, and the head that is passed on keeps it
    if headers.contains_key(TRANSFER_ENCODING) && length.is_some() {
        return Err(HeadFault::LengthAndCoding);
    }
    let is_bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT);
    if is_bodiless && (is_coded || length.is_some_and(|length| length > 0)) {
        return Err(HeadFault::NoBody(status));
    }
    if let Some(length) = length {
        // not every reader takes equal lengths as one
        response.headers_mut().insert(CONTENT_LENGTH, length.into());
    }
    Ok(length)
}

/// Returns whether the body comes in chunks.
fn is_coded(headers: &HeaderMap, version: Version) -> Result<bool, HeadFault> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    let coding = coding.to_str().map_or("", str::trim);
    let is_known = |known: &str| coding.eq_ignore_ascii_case(known);
    let is_chunked = is_known(CHUNKED) && version != Version::HTTP_10;
    match codings.next().is_none() && (is_chunked || is_known(IDENTITY)) {
        true => Ok(is_chunked),
        false => Err(HeadFault::Coding),
    }
}

/// Returns the length that the head declares; it may be told several times.
fn length(headers: &HeaderMap) -> Result<Option<u64>, HeadFault> {
    let mut known = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let text = value.to_str().map_err(|_| HeadFault::Length)?;
        for digits in text.split(',').map(str::trim) {
            let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            let number: Option<u64> = digits.parse().ok().filter(|_| is_number);
            let number = number.ok_or(HeadFault::Length)?;
            if known.is_some_and(|known| known != number) {
                return Err(HeadFault::Length);
            }
            known = Some(number);
        }
    }
    Ok(known)
}

/// Looks for a field whose name is the spoilt one of a field that frames the body.
fn check_names(headers: &HeaderMap) -> Result<(), HeadFault> {
    let is_framing = |name: &str| name == CONTENT_LENGTH || name == TRANSFER_ENCODING;
    let others = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        !is_framing(name) && !name.starts_with(PRIVATE_PREFIX)
    });
    for (name, value) in others {
        let longest = FRAMING_FIELDS.map(str::len).into_iter().max().unwrap_or(0);
        // the byte that ends a name may be spoilt, or stand too early
        let mut line = name.as_str().as_bytes().to_vec();
        line.push(b':');
        line.extend(value.as_bytes().iter().take(longest));
        line.make_ascii_lowercase();
        if FRAMING_FIELDS
            .iter()
            .any(|field| begins_nearly(&line, field))
        {
            return Err(HeadFault::NearlyFraming(name.to_string()));
        }
    }
    Ok(())
}

/// Returns whether a line begins with a text but for a few bytes.
fn begins_nearly(line: &[u8], text: &str) -> bool {
    let text = text.as_bytes();
    if !shares_a_part(line, text) {
        return false;
    }
    let shortest = text.len() - MAX_SPOILT_BYTES;
    let longest = line.len().min(text.len() + MAX_SPOILT_BYTES);
    (shortest..=longest).any(|end| distance(&line[..end], text) <= MAX_SPOILT_BYTES)
}

/// Returns whether a line has a part of a text that is divided into one part more than bytes may be
/// spoilt: one of them is sound. Nearly all lines have none.
fn shares_a_part(line: &[u8], text: &[u8]) -> bool {
    let size = text.len() / (MAX_SPOILT_BYTES + 1);
    let mut parts = text.chunks_exact(size);
    parts.any(|part| line.windows(size).any(|window| window == part))
}

/// Returns the number of bytes to insert, remove or replace in one text to get the other.
fn distance(one: &[u8], other: &[u8]) -> usize {
    let mut before: Vec<usize> = (0..=other.len()).collect();
    for (i, a) in one.iter().enumerate() {
        let mut row = vec![i + 1];
        for (j, b) in other.iter().enumerate() {
            let replaced = before[j] + usize::from(a != b);
            row.push(replaced.min(before[j + 1] + 1).min(row[j] + 1));
        }
        before = row;
    }
    before[other.len()]
}
