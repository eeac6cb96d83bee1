//! Settings for how a daemon follows the objects stored on the platform.

use std::time::Duration;

use super::reader::Reader;

/// Section `[learning]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearningSettings {
    /// Whether all objects are listed and watched together or by kind.
    pub feeds: FeedLayout,
    /// How long a watch waits for a change before it returns empty.
    pub watch_wait: Duration,
    /// The same for a watch of the host list alone, and for one that may return stale data.
    pub host_wait: Duration,
    /// Minimum time between the starts of two watches of the host list.
    pub host_spacing: Duration,
    /// Number of daemons per failure domain that watch the platform; the others get updates from
    /// peers.
    pub watchers: usize,
    /// Whether the other daemons watch too, accepting stale results; for platforms where stale
    /// reads are cheap. The watchers confirm to them which version is current.
    pub stale_watches: bool,
    /// How long after the last confirmation of the configuration a daemon asks a watcher again.
    pub confirm_after: Duration,
    /// How long after the last confirmation a daemon makes an exact read of the platform itself.
    pub ask_after: Duration,
    /// Whether only the watchers and the lease holder of a failure domain read the platform, and
    /// peers relay changes to the others. Requires `feeds = split`.
    pub relays: bool,
    /// Time between two pulls of changes from peers, with `relays`.
    pub relay_interval: Duration,
    /// Whether the platform lists evacuated failure domains besides the configuration. Requires
    /// `feeds = split`.
    pub evacuations: bool,
    /// Whether daemons keep leases, assignments and claims in objects of their own for each store
    /// era; for platforms whose conditional writes don't name the era. Requires `feeds = split`.
    pub era_objects: bool,
    /// Whether a revoked API key must stop working everywhere within `revoke_within`, including at
    /// daemons that can't reach the platform.
    pub strict_revocation: bool,
    /// Time from when the platform accepts a configuration until API keys that it no longer
    /// contains must be rejected. Used only with `strict_revocation`, which requires it.
    pub revoke_within: Option<Duration>,
    /// Time from when the platform accepts a configuration until it must be in force everywhere.
    /// Without it, a daemon keeps serving by an older configuration until it receives the newer
    /// one.
    pub in_force_within: Option<Duration>,
    /// Maximum age of the configuration at which a request may be permanently rejected as
    /// unknown. Without it, any age.
    pub refuse_within: Option<Duration>,
}

/// Which objects are listed and watched together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedLayout {
    /// All objects in one list and one watch.
    #[default]
    Shared,
    /// Separate watches for the configuration and the host list. Groups are known from the host
    /// list, as assignments are not watched.
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
            evacuations: false,
            era_objects: false,
            strict_revocation: false,
            revoke_within: None,
            in_force_within: None,
            refuse_within: None,
        }
    }
}

impl LearningSettings {
    /// Reads section `[learning]`; problems are collected in `reader`.
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
            evacuations: section.flag("evacuations", default.evacuations),
            era_objects: section.flag("era_objects", default.era_objects),
            strict_revocation: section.flag("strict_revocation", default.strict_revocation),
            revoke_within: section.optional_duration("revoke_within"),
            in_force_within: section.optional_duration("in_force_within"),
            refuse_within: section.optional_duration("refuse_within"),
        };
        if settings.feeds != FeedLayout::Split {
            for (key, is_set) in [
                ("relays", settings.relays),
                ("evacuations", settings.evacuations),
                ("era_objects", settings.era_objects),
            ] {
                if is_set {
                    let message = format!("{key} = yes requires feeds = split");
                    let help = format!("set feeds = split or {key} = no");
                    section.report_problem(key, message, &help);
                }
            }
        }
        settings
    }

    /// How long requests are still served by a configuration after the daemon has learned that a
    /// newer one exists; `None` for no limit.
    pub fn superseded_grace_period(&self) -> Option<Duration> {
        /// Fraction of `in_force_within`. The remainder covers the time until the daemon learns of
        /// the newer configuration, and the delivery of the request to the upstream.
        const USABLE_FRACTION: f64 = 0.6;
        Some(self.in_force_within?.mul_f64(USABLE_FRACTION))
    }

    /// How long requests with an API key are still served after the platform last confirmed the
    /// configuration; `None` for no limit. Without strict revocation, a daemon that can't reach
    /// the platform keeps accepting the keys that it knows.
    pub fn keys_valid_for(&self) -> Option<Duration> {
        /// Fraction of `revoke_within` during which keys are accepted. The remainder covers the
        /// delivery of the request to the upstream, and differences in clock rates. Relayed routes
        /// have used the same fraction since they were introduced.
        const USABLE_FRACTION: f64 = 0.8;
        let within = self.revoke_within.filter(|_| self.strict_revocation)?;
        Some(within.mul_f64(USABLE_FRACTION))
    }
}
