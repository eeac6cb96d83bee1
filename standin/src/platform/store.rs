//! Object store of the stand-in platform.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use shalehinge::object_api::http::{WireList, WireObject};

/// Fault that the platform currently shows; set with `PUT /admin/fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformFault {
    /// Answers normally.
    #[default]
    None,
    /// Answers every call of the object API with status 503.
    Down,
    /// Applies writes, but answers them with status 503.
    LoseAnswers,
}

/// Number of calls to the object API, by type.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of single objects, and lists.
    pub reads: u64,
    /// Writes, including refused ones.
    pub writes: u64,
    /// Watch requests.
    pub watches: u64,
    /// Writes refused because the expected version didn't match.
    pub conflicts: u64,
    /// Total size of the values in writes, in bytes of JSON.
    pub bytes_written: u64,
}

/// Contents of the store, or of a backup of it.
#[derive(Clone, Debug, Default)]
struct StoreContents {
    /// Number of writes of all objects.
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
}

#[derive(Clone, Debug)]
struct StoredObject {
    /// Number of writes of this object.
    version: u64,
    /// Revision of the store at the last write of this object.
    revision: u64,
    value: Value,
}

/// Object store with one backup.
#[derive(Debug)]
pub struct Store {
    /// Injected fault.
    pub fault: PlatformFault,
    /// Number of calls taken.
    pub counts: CallCounts,
    /// Number of restores, plus one.
    era: u32,
    contents: StoreContents,
    backup: StoreContents,
    /// Channels to notify of the next write or restore.
    watchers: Vec<async_channel::Sender<()>>,
}

impl Default for Store {
    /// Returns an empty store in its first era.
    fn default() -> Self {
        Self {
            fault: PlatformFault::None,
            counts: CallCounts::default(),
            era: 1,
            contents: StoreContents::default(),
            backup: StoreContents::default(),
            watchers: Vec::new(),
        }
    }
}

impl Store {
    /// Returns an object, or `None` if it doesn't exist.
    pub fn get(&self, kind: &str, name: &str) -> Option<WireObject> {
        let key = (kind.to_owned(), name.to_owned());
        let stored = self.contents.objects.get(&key)?;
        Some(to_wire_object(&key, stored))
    }

    /// Returns the version of an object; 0 if it doesn't exist.
    pub fn version(&self, kind: &str, name: &str) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        self.contents.objects.get(&key).map_or(0, |s| s.version)
    }

    /// Writes an object if it has the expected version (0: it must not exist), and returns its
    /// new version.
    ///
    /// # Errors
    ///
    /// Returns the current version if it isn't the expected one.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected_version: u64,
        value: Value,
    ) -> Result<u64, u64> {
        let key = (kind.to_owned(), name.to_owned());
        let current = self.contents.objects.get(&key).map_or(0, |s| s.version);
        if current != expected_version {
            self.counts.conflicts += 1;
            return Err(current);
        }
        Ok(self.write(key, value))
    }

    /// Changes an object whatever its version. For the host list only: a missing object starts
    /// as an empty host list.
    pub fn update(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Value)) {
        let key = (kind.to_owned(), name.to_owned());
        let mut value = self
            .contents
            .objects
            .get(&key)
            .map_or_else(|| serde_json::json!({"hosts": {}}), |s| s.value.clone());
        change(&mut value);
        self.write(key, value);
    }

    fn write(&mut self, key: (String, String), value: Value) -> u64 {
        let current = self.contents.objects.get(&key).map_or(0, |s| s.version);
        let version = current + 1;
        self.contents.revision += 1;
        let stored = StoredObject {
            version,
            revision: self.contents.revision,
            value,
        };
        self.contents.objects.insert(key, stored);
        self.notify_watchers();
        version
    }

    fn notify_watchers(&mut self) {
        for watcher in self.watchers.drain(..) {
            let _ = watcher.try_send(());
        }
    }

    /// Returns the era: 1 at first, and 1 more after each restore.
    pub fn era(&self) -> u32 {
        self.era
    }

    /// Replaces the backup with a copy of the current contents.
    pub fn take_backup(&mut self) {
        self.backup = self.contents.clone();
    }

    /// Restores the contents from the backup. Later writes are lost, and their versions and
    /// revisions are assigned again to new writes.
    pub fn restore(&mut self) {
        self.contents = self.backup.clone();
        self.era += 1;
        self.notify_watchers();
    }

    /// Whether the store has reached this revision, so that changes after it are known.
    pub fn has_reached_revision(&self, revision: u64) -> bool {
        revision <= self.contents.revision
    }

    /// Returns the objects of these comma-separated kinds that changed after a revision.
    pub fn changed_since(&self, kinds: &str, after: u64) -> WireList {
        let kinds: Vec<&str> = kinds.split(',').collect();
        let objects = self
            .contents
            .objects
            .iter()
            .filter(|((kind, _), stored)| kinds.contains(&kind.as_str()) && stored.revision > after)
            .map(|(key, stored)| to_wire_object(key, stored))
            .collect();
        WireList {
            revision: self.contents.revision,
            objects,
        }
    }

    /// Returns a channel that receives a message on the next write or restore.
    pub fn subscribe_to_next_write(&mut self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.watchers.push(sender);
        receiver
    }
}

fn to_wire_object(key: &(String, String), stored: &StoredObject) -> WireObject {
    WireObject {
        kind: key.0.clone(),
        name: key.1.clone(),
        version: stored.version,
        value: stored.value.clone(),
    }
}
