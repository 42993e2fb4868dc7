//! Reads the feeds of other instances: what they have learned of the stores and engines that they
//! follow, and their calls in flight.

use {
    crate::{
        FeedSource, Platform, ReadingPlan, merged_follower::MergedFollower,
        peer_follower::PeerFollower, shared::Shared,
    },
    relay::boot_time,
    std::{collections::HashMap, sync::Arc},
    supervisor::ChildResult,
    tokio::task::JoinSet,
    tokio_util::sync::CancellationToken,
};

/// Reads the feeds that the [`ReadingPlan`] names until `token` is cancelled.
pub(crate) async fn watch<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    token: CancellationToken,
) -> ChildResult
where
    Kv: Send + Sync + 'static,
    Format: Platform,
{
    let mut watch = PeerWatch {
        shared: shared.clone(),
        followed: HashMap::new(),
        tasks: JoinSet::new(),
    };
    loop {
        let changed = shared.changed.notified();
        watch.update();
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = changed => {}
        }
    }
}

struct PeerWatch<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    followed: HashMap<FeedSource, CancellationToken>,
    /// Tasks of the followers, aborted on drop.
    tasks: JoinSet<()>,
}

impl<Kv, Format> PeerWatch<Kv, Format>
where
    Kv: Send + Sync + 'static,
    Format: Platform,
{
    /// Brings the followers in line with the ready instances.
    fn update(&mut self) {
        let settings = &self.shared.settings;
        let ready = self.shared.ready_members();
        let aggregators = self.shared.aggregators.load();
        let plan = ReadingPlan::new(
            &ready,
            &aggregators,
            &settings.instance,
            &settings.failure_domain,
        );
        if plan.is_aggregator {
            self.shared.feed.begin_aggregation(boot_time());
        } else {
            self.shared.feed.end_aggregation();
        }
        let shared = &self.shared;
        self.followed.retain(|source, stop| {
            let stays = plan.sources.contains(source);
            if !stays {
                stop.cancel();
                if let FeedSource::Instance(name, _) = source {
                    shared.forget_peer(name);
                }
            }
            stays
        });
        while self.tasks.try_join_next().is_some() {}
        for source in plan.sources {
            if !self.followed.contains_key(&source) {
                self.follow(source);
            }
        }
    }

    fn follow(&mut self, source: FeedSource) {
        let stop = CancellationToken::new();
        self.followed.insert(source.clone(), stop.clone());
        let shared = self.shared.clone();
        self.tasks.spawn(async move {
            let follow = async {
                match source {
                    FeedSource::Instance(name, address) => {
                        PeerFollower::new(shared, name, address).run().await;
                    }
                    FeedSource::Merged(failure_domain, scope) => {
                        MergedFollower::new(shared, failure_domain, scope)
                            .run()
                            .await;
                    }
                }
            };
            tokio::select! {
                () = stop.cancelled() => {}
                () = follow => {}
            }
        });
    }
}
