//! Order of configurations.

use broker::Config;

/// How a configuration compares with the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// It is newer and replaces the one in force.
    Newer,
    /// It is the one in force, or an older one.
    NotNewer,
    /// It was written later with a lower version, and is refused.
    FallingVersion,
}

/// Compares a configuration with the one in force.
///
/// The offset in the operator's log is compared first, since the log only grows.
pub fn compare(current: Option<&Config>, new: &Config) -> Order {
    match current {
        None => Order::Newer,
        Some(current) if new.offset <= current.offset => Order::NotNewer,
        Some(current) if new.version < current.version => Order::FallingVersion,
        Some(_) => Order::Newer,
    }
}
