//! Division of an encoded configuration into parts, and their assembly.

use std::fmt;

use broker::Config;
use mesh::{ConfigPart, Uptime};

use crate::encoding::{decode_config, encode_config};

/// Maximum size of the content of a part, in bytes.
pub const MAX_PART_BYTES: usize = 8 * 1_024;
/// Maximum size of an encoded configuration, in bytes.
pub const MAX_CONFIG_BYTES: usize = 256 * 1_024;

/// The encoded configuration exceeds [`MAX_CONFIG_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge {
    /// Size of the encoded configuration, in bytes.
    pub bytes: usize,
}

impl fmt::Display for TooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the configuration takes {} bytes, more than {MAX_CONFIG_BYTES}", self.bytes)
    }
}

impl std::error::Error for TooLarge {}

/// Encodes a configuration and divides it into parts.
///
/// # Errors
///
/// If it is too large to be sent.
pub fn split(config: &Config) -> Result<Vec<ConfigPart>, TooLarge> {
    let encoded = encode_config(config);
    if encoded.len() > MAX_CONFIG_BYTES {
        return Err(TooLarge { bytes: encoded.len() });
    }
    let count = encoded.len().div_ceil(MAX_PART_BYTES) as u16;
    let part = |(index, bytes): (u16, &[u8])| ConfigPart {
        offset: config.offset,
        version: config.version,
        index,
        count,
        bytes: bytes.to_vec(),
    };
    Ok((0..).zip(encoded.chunks(MAX_PART_BYTES)).map(part).collect())
}

/// Parts of one configuration from one entry.
#[derive(Debug)]
pub(crate) struct PartialSet {
    pub(crate) offset: u64,
    version: u64,
    parts: Vec<Option<Vec<u8>>>,
    /// Arrival of the first part.
    pub(crate) since: Uptime,
}

impl PartialSet {
    /// Creates a set without parts, of which `part` will be the first; none if its numbers or its
    /// size are out of range.
    pub(crate) fn new(now: Uptime, part: &ConfigPart) -> Option<PartialSet> {
        let count = usize::from(part.count);
        if count == 0 || count > MAX_CONFIG_BYTES / MAX_PART_BYTES {
            return None;
        }
        let (offset, version) = (part.offset, part.version);
        Some(PartialSet { offset, version, parts: vec![None; count], since: now })
    }

    /// Adds a part; returns whether it fits the set.
    pub(crate) fn add(&mut self, part: ConfigPart) -> bool {
        let fits = part.offset == self.offset
            && part.version == self.version
            && usize::from(part.count) == self.parts.len()
            && part.index < part.count
            && part.bytes.len() <= MAX_PART_BYTES;
        if fits {
            self.parts[usize::from(part.index)] = Some(part.bytes);
        }
        fits
    }

    /// Number of parts that have arrived, and of all.
    pub(crate) fn progress(&self) -> (usize, usize) {
        (self.parts.iter().flatten().count(), self.parts.len())
    }

    /// Decodes a complete set.
    ///
    /// # Errors
    ///
    /// Why it cannot be used.
    pub(crate) fn decode(self) -> Result<Config, String> {
        let bytes: Vec<u8> = self.parts.into_iter().flatten().flatten().collect();
        let config = decode_config(&bytes).map_err(|err| err.to_string())?;
        if (config.offset, config.version) != (self.offset, self.version) {
            return Err("the parts name another offset or version than the content".to_owned());
        }
        Ok(config)
    }
}
