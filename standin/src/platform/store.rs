//! The objects of the stand-in platform.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use shalehinge::object_api::http::{WireList, WireObject};

/// What the platform does wrong at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It refuses every call.
    Down,
    /// Writes take effect and their answers are lost.
    LoseAnswers,
}

/// Calls taken, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of one object and lists.
    pub reads: u64,
    /// Writes, refused ones among them.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Writes that were refused, as the version was another.
    pub conflicts: u64,
    /// Bytes of the values written.
    pub bytes_written: u64,
}

/// What is kept, and what a copy holds of it.
#[derive(Clone, Debug, Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
}

#[derive(Clone, Debug)]
struct Stored {
    version: u64,
    revision: u64,
    value: Value,
}

/// All objects.
#[derive(Debug)]
pub struct Store {
    /// What it does wrong.
    pub fault: Fault,
    /// Calls taken.
    pub counts: CallCounts,
    era: u32,
    content: Content,
    copy: Content,
    watchers: Vec<async_channel::Sender<()>>,
}

impl Default for Store {
    /// Empty, in its first era.
    fn default() -> Self {
        Self {
            fault: Fault::None,
            counts: CallCounts::default(),
            era: 1,
            content: Content::default(),
            copy: Content::default(),
            watchers: Vec::new(),
        }
    }
}

impl Store {
    /// One object.
    pub fn get(&self, kind: &str, name: &str) -> Option<WireObject> {
        let key = (kind.to_owned(), name.to_owned());
        let stored = self.content.objects.get(&key)?;
        Some(wire(&key, stored))
    }

    /// Version of an object; 0 if it does not exist.
    pub fn version(&self, kind: &str, name: &str) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        self.content.objects.get(&key).map_or(0, |s| s.version)
    }

    /// Writes an object if it has the expected version; otherwise says which it has.
    pub fn put(&mut self, kind: &str, name: &str, expect: u64, value: Value) -> Result<u64, u64> {
        let key = (kind.to_owned(), name.to_owned());
        let current = self.content.objects.get(&key).map_or(0, |s| s.version);
        if current != expect {
            self.counts.conflicts += 1;
            return Err(current);
        }
        Ok(self.write(key, value))
    }

    /// Changes an object whatever its version; for the host list alone.
    pub fn update(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Value)) {
        let key = (kind.to_owned(), name.to_owned());
        let mut value = self
            .content
            .objects
            .get(&key)
            .map_or_else(|| serde_json::json!({"hosts": {}}), |s| s.value.clone());
        change(&mut value);
        self.write(key, value);
    }

    fn write(&mut self, key: (String, String), value: Value) -> u64 {
        let current = self.content.objects.get(&key).map_or(0, |s| s.version);
        let version = current + 1;
        self.content.revision += 1;
        let stored = Stored {
            version,
            revision: self.content.revision,
            value,
        };
        self.content.objects.insert(key, stored);
        self.wake_watchers();
        version
    }

    fn wake_watchers(&mut self) {
        for watcher in self.watchers.drain(..) {
            let _ = watcher.try_send(());
        }
    }

    /// How often it was restored from a copy.
    pub fn era(&self) -> u32 {
        self.era
    }

    /// Copies all that is kept now.
    pub fn take_copy(&mut self) {
        self.copy = self.content.clone();
    }

    /// Restored from the copy: what was written since is lost, and versions and revisions are
    /// given out anew.
    pub fn restore(&mut self) {
        self.content = self.copy.clone();
        self.era += 1;
        self.wake_watchers();
    }

    /// Whether changes after this revision can be told.
    pub fn has_reached(&self, revision: u64) -> bool {
        revision <= self.content.revision
    }

    /// Objects of these kinds that changed after a revision.
    pub fn changed(&self, kinds: &str, after: u64) -> WireList {
        let kinds: Vec<&str> = kinds.split(',').collect();
        let objects = self
            .content
            .objects
            .iter()
            .filter(|((kind, _), stored)| kinds.contains(&kind.as_str()) && stored.revision > after)
            .map(|(key, stored)| wire(key, stored))
            .collect();
        WireList {
            revision: self.content.revision,
            objects,
        }
    }

    /// Hears of the next write.
    pub fn next_write(&mut self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.watchers.push(sender);
        receiver
    }
}

fn wire(key: &(String, String), stored: &Stored) -> WireObject {
    WireObject {
        kind: key.0.clone(),
        name: key.1.clone(),
        version: stored.version,
        value: stored.value.clone(),
    }
}
