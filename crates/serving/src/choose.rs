//! Chooses version and engine of a completion.

use {
    crate::{
        FoundBlocks, PeerDirectory, RequestHandler,
        plan::{Plan, Scope},
    },
    catalog::TargetId,
    gateway::CompletionJob,
    keyvalue::KeyValue,
    prefix::BlockKey,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// By how much an engine with a version that is being replaced must be sooner to be chosen.
const REPLACED_ADVANTAGE: Duration = Duration::from_millis(250);

/// Where a completion runs, under which version.
pub(crate) struct Chosen {
    pub(crate) scope: Scope,
    pub(crate) plan: Plan,
    /// What was missing or uncertain.
    pub(crate) missing: Vec<String>,
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Chooses an engine that runs the active version. While a version is being rolled out, its
    /// predecessors serve too, as long as engines with the active one are missing or much later.
    pub(crate) async fn choose(
        &self,
        scope: &Scope,
        job: &CompletionJob,
        tried: &BTreeSet<TargetId>,
    ) -> Result<Chosen, routing::NoTargetAvailable> {
        let mut best = self.choose_in(scope.clone(), job, tried).await;
        for replaced in scope.replaced_versions() {
            if !self.is_loaded(&replaced) {
                continue;
            }
            let Ok(mut other) = self.choose_in(replaced, job, tried).await else {
                continue;
            };
            let is_sooner = best.as_ref().map_or(true, |best| {
                other.plan.first_token() + REPLACED_ADVANTAGE < best.plan.first_token()
            });
            if is_sooner {
                other.missing.push(format!(
                    "version {} serves until more engines have {}",
                    other.scope.version.name, scope.version.name
                ));
                best = Ok(other);
            }
        }
        best
    }

    async fn choose_in(
        &self,
        scope: Scope,
        job: &CompletionJob,
        tried: &BTreeSet<TargetId>,
    ) -> Result<Chosen, routing::NoTargetAvailable> {
        let keys = scope.keys(&job.prompt);
        let found = self.find(job, &keys).await;
        let plan = self.plan(&scope, job, &keys, &found, tried)?;
        Ok(Chosen {
            scope,
            plan,
            missing: found.missing,
        })
    }

    /// What this instance knows of the prompt's blocks, and if that is not all, an owner.
    async fn find(&self, job: &CompletionJob, keys: &[BlockKey]) -> FoundBlocks {
        let own = self.directory().lookup(keys);
        if keys.is_empty() || own.seen_blocks == keys.len() {
            return own;
        }
        own.merge(self.peers().lookup(&job.client_account, keys).await)
    }

    /// Whether some engine runs the scope's version.
    fn is_loaded(&self, scope: &Scope) -> bool {
        let digest = &scope.version.digest;
        let now = Instant::now();
        self.fleet()
            .views()
            .iter()
            .any(|view| view.has_version(digest, now))
    }
}
