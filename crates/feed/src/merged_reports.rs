//! What an aggregator has read in the feeds of other instances.

use {
    crate::{Scope, SilentInstance},
    balance::TargetLoad,
    catalog::InstanceId,
    parts::LinkUse,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time without an answer from which an instance is reported as silent.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// What one source last reported: another instance of the failure domain, or an aggregator of another
/// one for the instances there.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SourceReport {
    /// Calls in flight by target.
    pub loads: Vec<TargetLoad>,
    /// Number of instances whose calls these are.
    pub instances_count: u32,
    /// Total time for which these instances have planned to use each store's link.
    pub link_use: Vec<LinkUse>,
    /// Instances that the source can't read.
    pub silent_instances: Vec<SilentInstance>,
}

/// Use of one store's link, as a source reports it.
#[derive(Clone, Copy, Debug)]
struct SourceLinkUse {
    /// Total at the last report.
    reported: Duration,
    /// Increase since the first report.
    added: Duration,
}

/// A source that the aggregator reads.
#[derive(Clone, Debug)]
struct Source {
    scope: Scope,
    /// Time of the last answer, or at which reading began.
    heard_at: Duration,
    report: SourceReport,
    link_use: HashMap<SocketAddr, SourceLinkUse>,
}

/// What an aggregator has read in the feeds of other instances. All times are by one clock.
///
/// ```
/// use balance::TargetLoad;
/// use feed::{MergedReports, Scope, SourceReport};
/// use std::time::Duration;
///
/// let mut reports = MergedReports::default();
/// let load = TargetLoad { target_seed: 7, calls_count: 2, tokens_count: 900, unread_tokens_count: 0 };
/// for name in ["entry-1", "entry-2"] {
///     reports.add_source(name, Scope::Domain, Duration::ZERO);
///     let report = SourceReport { loads: vec![load], instances_count: 1, ..SourceReport::default() };
///     reports.set(name, Scope::Domain, report, Duration::ZERO);
/// }
/// assert_eq!(reports.loads("entry-1", Scope::All, &[]), (vec![load], 2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct MergedReports {
    sources: HashMap<InstanceId, Source>,
}

impl MergedReports {
    /// Begins at `now` to read a source. `scope` is [`Scope::Domain`] for an instance of the own failure
    /// domain, [`Scope::All`] for an aggregator of another one.
    pub fn add_source(&mut self, name: &str, scope: Scope, now: Duration) {
        let source = Source {
            scope,
            heard_at: now,
            report: SourceReport::default(),
            link_use: HashMap::new(),
        };
        self.sources.insert(name.to_owned(), source);
    }

    /// Removes a source that is no longer read.
    pub fn remove_source(&mut self, name: &str) {
        self.sources.remove(name);
    }

    /// Replaces what a source in `scope` reported by its answer at `now`.
    pub fn set(&mut self, name: &str, scope: Scope, report: SourceReport, now: Duration) {
        if !self.sources.contains_key(name) {
            self.add_source(name, scope, now);
        }
        let Some(source) = self.sources.get_mut(name) else {
            return;
        };
        source.heard_at = now;
        for (store, reported) in &report.link_use {
            let first = SourceLinkUse {
                reported: *reported,
                added: Duration::ZERO,
            };
            let known = source.link_use.entry(*store).or_insert(first);
            known.added += reported.saturating_sub(known.reported);
            known.reported = *reported;
        }
        source.report = report;
    }

    /// Records that a source doesn't answer, so its calls in flight are not known.
    pub fn set_unread(&mut self, name: &str) {
        if let Some(source) = self.sources.get_mut(name) {
            source.report = SourceReport::default();
        }
    }

    /// Adds up the calls in flight of the instances in `scope` without `reader`. `own` are those of this
    /// instance. Returns the number of instances as well.
    #[must_use]
    pub fn loads(&self, reader: &str, scope: Scope, own: &[TargetLoad]) -> (Vec<TargetLoad>, u32) {
        let mut sums: HashMap<u64, TargetLoad> = HashMap::new();
        let mut instances_count = 1;
        let reports = self.sources_for(reader, scope).map(|it| &it.report);
        let reports: Vec<&SourceReport> = reports.collect();
        for report in &reports {
            instances_count += report.instances_count;
        }
        for load in reports.iter().flat_map(|it| &it.loads).chain(own) {
            let sum = sums.entry(load.target_seed).or_insert(TargetLoad {
                calls_count: 0,
                tokens_count: 0,
                unread_tokens_count: 0,
                ..*load
            });
            sum.calls_count = sum.calls_count.saturating_add(load.calls_count);
            sum.tokens_count = sum.tokens_count.saturating_add(load.tokens_count);
            let unread_count = load.unread_tokens_count;
            sum.unread_tokens_count = sum.unread_tokens_count.saturating_add(unread_count);
        }
        (sums.into_values().collect(), instances_count)
    }

    /// Adds up the use of each store's link by the instances in `scope` without `reader`. `own` is that
    /// of this instance.
    #[must_use]
    pub fn link_use(&self, reader: &str, scope: Scope, own: &[LinkUse]) -> Vec<LinkUse> {
        let mut sums: BTreeMap<SocketAddr, Duration> = own.iter().copied().collect();
        for source in self.sources_for(reader, scope) {
            for (store, link_use) in &source.link_use {
                *sums.entry(*store).or_default() += link_use.added;
            }
        }
        sums.into_iter().collect()
    }

    /// Returns the instances in `scope` that can't be read at `now`.
    #[must_use]
    pub fn silent_instances(&self, scope: Scope, now: Duration) -> Vec<SilentInstance> {
        let mut silent = Vec::new();
        for (name, source) in &self.sources {
            let silence = now.saturating_sub(source.heard_at);
            if source.scope == Scope::Domain && silence >= MIN_SILENCE {
                silent.push((name.clone(), silence));
            }
            if source.scope <= scope {
                let reported = source.report.silent_instances.iter();
                silent.extend(reported.map(|(name, since)| (name.clone(), *since + silence)));
            }
        }
        silent.sort();
        silent
    }

    fn sources_for(&self, reader: &str, scope: Scope) -> impl Iterator<Item = &Source> {
        let sources = self.sources.iter();
        let sources =
            sources.filter(move |(name, source)| *name != reader && source.scope <= scope);
        sources.map(|(_, source)| source)
    }
}
