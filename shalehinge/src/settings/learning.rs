//! Settings of how a daemon learns what the platform keeps.

use std::time::Duration;

use super::reader::Reader;

/// Section `[learning]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearningSettings {
    /// Whether the objects are read together or by kind.
    pub feeds: FeedLayout,
    /// How long a watch waits for a change.
    pub watch_wait: Duration,
    /// How long a watch of the host list alone, or one that may be stale, waits for a
    /// change.
    pub host_wait: Duration,
    /// Time between the starts of two watches of the host list.
    pub host_spacing: Duration,
    /// Daemons of a failure domain that watch; the others hear it from peers.
    pub watchers: usize,
    /// Whether the others watch too, with answers that may be stale; for platforms that
    /// charge little for these. Watchers confirm to them what is new.
    pub stale_watches: bool,
    /// How long after the configuration was confirmed a watcher is asked again.
    pub confirm_after: Duration,
    /// How long after it was confirmed a daemon asks the platform exactly itself.
    pub ask_after: Duration,
    /// Whether only the watchers of a failure domain and whoever holds its control read the
    /// platform, and the others hear from peers what changed; only with `feeds = split`.
    pub relays: bool,
    /// Time between two questions for what changed, where peers relay it.
    pub relay_interval: Duration,
    /// Whether a key that was taken away must stop working everywhere within
    /// `revoke_within`, also at daemons that cannot reach the platform.
    pub strict_revocation: bool,
    /// Time after the platform took a configuration until a key that it no longer
    /// holds must not work any more. Only with `strict_revocation`.
    pub revoke_within: Option<Duration>,
    /// Time after the platform took a configuration until it must be in force everywhere;
    /// without, an older one is served by for as long as the newer one does not come.
    pub in_force_within: Option<Duration>,
    /// How fresh the configuration must be for a request to be refused as unknown
    /// for good; however old without.
    pub refuse_within: Option<Duration>,
}

/// Which objects are listed and watched together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedLayout {
    /// All in one.
    #[default]
    Shared,
    /// Configuration and host list apart; the host list tells which groups stand.
    Split,
}

impl Default for LearningSettings {
    fn default() -> Self {
        Self {
            feeds: FeedLayout::default(),
            watch_wait: Duration::from_secs(20),
            host_wait: Duration::from_secs(5),
            host_spacing: Duration::from_millis(250),
            watchers: 2,
            stale_watches: false,
            confirm_after: Duration::from_secs(1),
            ask_after: Duration::from_secs(2),
            relays: false,
            relay_interval: Duration::from_millis(400),
            strict_revocation: false,
            revoke_within: None,
            in_force_within: None,
            refuse_within: None,
        }
    }
}

impl LearningSettings {
    /// Reads section `[learning]`.
    pub fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("learning");
        let default = Self::default();
        let settings = Self {
            feeds: section.feed_layout("feeds", default.feeds),
            watch_wait: section.duration("watch_wait", default.watch_wait),
            host_wait: section.duration("host_wait", default.host_wait),
            host_spacing: section.duration("host_spacing", default.host_spacing),
            watchers: section.count("watchers", default.watchers),
            stale_watches: section.flag("stale_watches", default.stale_watches),
            confirm_after: section.duration("confirm_after", default.confirm_after),
            ask_after: section.duration("ask_after", default.ask_after),
            relays: section.flag("relays", default.relays),
            relay_interval: section.duration("relay_interval", default.relay_interval),
            strict_revocation: section.flag("strict_revocation", default.strict_revocation),
            revoke_within: section.optional_duration("revoke_within"),
            in_force_within: section.optional_duration("in_force_within"),
            refuse_within: section.optional_duration("refuse_within"),
        };
        if settings.relays && settings.feeds != FeedLayout::Split {
            let message = "relays = yes needs feeds = split".to_owned();
            section.problem("relays", message, "write feeds = split, or relays = no");
        }
        settings
    }

    /// How long requests are served by a configuration once a newer one is known of.
    pub fn served_when_superseded(&self) -> Option<Duration> {
        /// Part of `in_force_within`. The rest is for the time until the newer one was heard
        /// of, and for the request's way to the upstream; chosen.
        const USED_PART: f64 = 0.6;
        Some(self.in_force_within?.mul_f64(USED_PART))
    }

    /// How long after the platform last confirmed the configuration requests with a
    /// key are still served; `None` without end. Where revocation is not strict, a
    /// daemon that cannot reach the platform goes on with the keys that it knows.
    pub fn keys_valid_for(&self) -> Option<Duration> {
        /// Part of `revoke_within` in which keys are used. The rest is for the request's
        /// way to the upstream and for clocks that run at different rates; chosen, the
        /// same part has been in use since relayed routes exist.
        const USED_PART: f64 = 0.8;
        let within = self.revoke_within.filter(|_| self.strict_revocation)?;
        Some(within.mul_f64(USED_PART))
    }
}
