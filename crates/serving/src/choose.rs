//! Chooses the model version and the engine for a completion.

use {
    crate::{
        FoundBlocks, PeerDirectory, RequestHandler,
        plan::{CompletionContext, Plan},
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

/// How much sooner the first token has to be expected from an engine with a version that is being
/// replaced for that engine to be chosen.
const MIN_LEAD_OF_REPLACED_VERSION: Duration = Duration::from_millis(250);

/// The model version and the engine chosen for a completion.
pub(crate) struct Chosen {
    pub(crate) context: CompletionContext,
    pub(crate) plan: Plan,
    /// What was missing or uncertain when the choice was made, in words.
    pub(crate) missing: Vec<String>,
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Chooses an engine that runs the active version. During a rollout, engines with a version
    /// that is being replaced are used as well if no engine has the active version, or if they are
    /// expected to answer much sooner.
    pub(crate) async fn choose(
        &self,
        context: &CompletionContext,
        job: &CompletionJob,
        tried_targets: &BTreeSet<TargetId>,
    ) -> Result<Chosen, routing::NoTargetAvailable> {
        let mut best = self
            .choose_for_version(context.clone(), job, tried_targets)
            .await;
        for replaced in context.replaced_versions() {
            if !self.is_loaded(&replaced) {
                continue;
            }
            let Ok(mut other) = self.choose_for_version(replaced, job, tried_targets).await else {
                continue;
            };
            let is_sooner = best.as_ref().map_or(true, |best| {
                other.plan.first_token() + MIN_LEAD_OF_REPLACED_VERSION < best.plan.first_token()
            });
            if is_sooner {
                other.missing.push(format!(
                    "version {} serves until more engines have {}",
                    other.context.version.name, context.version.name
                ));
                best = Ok(other);
            }
        }
        best
    }

    /// Chooses an engine that runs the context's model version.
    async fn choose_for_version(
        &self,
        context: CompletionContext,
        job: &CompletionJob,
        tried_targets: &BTreeSet<TargetId>,
    ) -> Result<Chosen, routing::NoTargetAvailable> {
        let keys = context.keys(&job.prompt);
        let found = self.lookup_blocks(job, &keys).await;
        let plan = self.plan(&context, job, &keys, &found, tried_targets)?;
        Ok(Chosen {
            context,
            plan,
            missing: found.missing,
        })
    }

    /// Looks the prompt's blocks up in this instance's directory. Asks the peers as well unless
    /// every block is known here.
    async fn lookup_blocks(&self, job: &CompletionJob, keys: &[BlockKey]) -> FoundBlocks {
        let own = self.directory().lookup(keys);
        if keys.is_empty() || own.seen_blocks == keys.len() {
            return own;
        }
        own.merge(self.peers().lookup(&job.client_account, keys).await)
    }

    /// Whether at least one engine runs the context's model version.
    fn is_loaded(&self, context: &CompletionContext) -> bool {
        let digest = &context.version.digest;
        let now = Instant::now();
        self.fleet()
            .views()
            .iter()
            .any(|view| view.has_version(digest, now))
    }
}
