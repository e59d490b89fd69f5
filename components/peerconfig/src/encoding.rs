//! Encoding of a configuration between entries.
//!
//! A version byte and a checksum precede the content. The checksum covers the whole, as the parts
//! of several datagrams can be combined wrongly although each of them arrived intact.

use std::{fmt, sync::Arc};

use broker::{Config, Limits, Route};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Version of the format, increased by each incompatible change.
const FORMAT_VERSION: u8 = 1;
/// Bytes before the content: the version and the checksum.
const HEADER_BYTES: usize = 9;

/// Why a configuration of another entry cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigDecodeError {
    /// It has another format version.
    Format(u8),
    /// It is damaged.
    Damaged,
}

#[derive(Serialize, Deserialize)]
struct EncodedConfig {
    version: u64,
    offset: u64,
    routes: Vec<EncodedRoute>,
    services: Vec<String>,
    header_bytes: u64,
    body_bytes: u64,
    header_time: u64,
    idle_time: u64,
}

#[derive(Serialize, Deserialize)]
struct EncodedRoute {
    name: String,
    host: String,
    prefix: String,
    service: String,
    priority: u32,
    attempts: u32,
    objective_factor: f64,
    target: u64,
}

impl fmt::Display for ConfigDecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigDecodeError::Format(version) => write!(f, "unknown format version {version}"),
            ConfigDecodeError::Damaged => f.write_str("damaged"),
        }
    }
}

impl std::error::Error for ConfigDecodeError {}

/// Encodes a configuration.
pub fn encode_config(config: &Config) -> Vec<u8> {
    let routes = config.routes.iter().map(|it| EncodedRoute {
        name: it.name.clone(),
        host: it.host.clone(),
        prefix: it.prefix.clone(),
        service: it.service.clone(),
        priority: it.priority,
        attempts: it.attempts,
        objective_factor: it.objective_factor,
        target: it.target,
    });
    let limits = &config.limits;
    let mut services: Vec<_> = config.services.iter().cloned().collect();
    services.sort_unstable();
    let encoded = EncodedConfig {
        version: config.version,
        offset: config.offset,
        routes: routes.collect(),
        services,
        header_bytes: limits.header_bytes as u64,
        body_bytes: limits.body_bytes as u64,
        header_time: limits.header_time,
        idle_time: limits.idle_time,
    };
    let content = postcard::to_stdvec(&encoded)
        .expect("configurations contain only types that postcard can encode");
    let mut bytes = vec![FORMAT_VERSION];
    bytes.extend(xxh3_64(&content).to_le_bytes());
    bytes.extend(content);
    bytes
}

/// Decodes a configuration.
///
/// # Errors
///
/// If it has another format version or is damaged.
pub fn decode_config(bytes: &[u8]) -> Result<Config, ConfigDecodeError> {
    match bytes.first() {
        Some(&FORMAT_VERSION) => {}
        Some(&other) => return Err(ConfigDecodeError::Format(other)),
        None => return Err(ConfigDecodeError::Damaged),
    }
    let (header, content) =
        bytes.split_at_checked(HEADER_BYTES).ok_or(ConfigDecodeError::Damaged)?;
    if header[1..] != xxh3_64(content).to_le_bytes() {
        return Err(ConfigDecodeError::Damaged);
    }
    match postcard::take_from_bytes::<EncodedConfig>(content) {
        Ok((encoded, [])) => from_encoded(encoded).ok_or(ConfigDecodeError::Damaged),
        Ok(_) | Err(_) => Err(ConfigDecodeError::Damaged),
    }
}

/// Converts a decoded configuration; none if a size does not fit into memory here.
fn from_encoded(encoded: EncodedConfig) -> Option<Config> {
    let routes = encoded.routes.into_iter().map(|it| {
        Arc::new(Route {
            name: it.name,
            host: it.host,
            prefix: it.prefix,
            service: it.service,
            priority: it.priority,
            attempts: it.attempts,
            objective_factor: it.objective_factor,
            target: it.target,
        })
    });
    let mut config = Config {
        version: encoded.version,
        offset: encoded.offset,
        routes: routes.collect(),
        services: encoded.services.into_iter().collect(),
        limits: Limits {
            header_bytes: encoded.header_bytes.try_into().ok()?,
            body_bytes: encoded.body_bytes.try_into().ok()?,
            header_time: encoded.header_time,
            idle_time: encoded.idle_time,
        },
    };
    config.sort();
    Some(config)
}
