//! Identity of the instances of an endpoint.

use std::{
    cmp::Ordering,
    collections::{HashMap, VecDeque},
    fmt,
    sync::Arc,
};

/// Identity of an instance of the endpoint, which lasts from the start of its process to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Id under which it registers; an endpoint may keep it across restarts.
    pub id: Arc<str>,
    /// Unix time of its start, in ms. Without it, instances are told apart by id alone.
    pub born: Option<u64>,
}

/// Age of the instance that a message names, compared to a known one of the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Age {
    Older,
    Same,
    Newer,
}

/// Maximum number of ids of ended instances that are kept.
const MAX_ENDED_IDS: usize = 1_024;

/// Newest ended instance of each id, for the ids that ended last.
#[derive(Debug, Default)]
pub(crate) struct EndedInstances {
    births: HashMap<Arc<str>, Option<u64>>,
    /// Ids in the order of their first end.
    order: VecDeque<Arc<str>>,
}

impl Instance {
    /// Age of the instance named by a message of this id with the birth time `born`; a message
    /// without birth time names the instance by its id alone.
    pub(crate) fn age_of(&self, born: Option<u64>) -> Age {
        if born.is_none() {
            return Age::Same;
        }
        match born.cmp(&self.born) {
            Ordering::Less => Age::Older,
            Ordering::Equal => Age::Same,
            Ordering::Greater => Age::Newer,
        }
    }
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{} born {born}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

impl From<&str> for Instance {
    fn from(id: &str) -> Instance {
        Instance { id: id.into(), born: None }
    }
}

impl EndedInstances {
    pub(crate) fn insert(&mut self, instance: Instance) {
        if let Some(newest) = self.births.get_mut(&instance.id) {
            *newest = instance.born.max(*newest);
            return;
        }
        if self.order.len() == MAX_ENDED_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.births.remove(&oldest);
        }
        self.order.push_back(Arc::clone(&instance.id));
        self.births.insert(instance.id, instance.born);
    }

    /// Whether this instance or a newer one of its id has ended.
    pub(crate) fn contains(&self, instance: &Instance) -> bool {
        self.births.get(&instance.id).is_some_and(|newest| instance.born <= *newest)
    }
}
