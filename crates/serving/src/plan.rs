//! Plans on which engine a completion runs and which blocks that engine imports.

use {
    crate::{FoundBlocks, PeerDirectory, RequestHandler, stores},
    catalog::{Catalog, ClientAccount, ModelVersion, PlacementRule, Target, TargetId, TargetKind},
    directory::{Generation, Leading},
    gateway::{CompletionJob, Kind, Refusal},
    keyvalue::KeyValue,
    prefix::BlockKey,
    routing::{Candidate, Choice, Estimate, PromptProfile},
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Assumed bytes of text per token, since no tokenizer is known.
const TOKEN_BYTES: u64 = 4;
/// Prompt tokens that an engine is assumed to compute per second before it has reported its rate.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 10_000.0;

/// The configuration objects that apply to one completion, all from the same revision.
#[derive(Clone, Debug)]
pub(crate) struct CompletionContext {
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) account: ClientAccount,
    pub(crate) version: ModelVersion,
    pub(crate) rule: PlacementRule,
}

impl CompletionContext {
    /// Finds the client account, the active model version and the placement rule of a job.
    pub(crate) fn new(catalog: Arc<Catalog>, job: &CompletionJob) -> Result<Self, Refusal> {
        let account = catalog
            .client_accounts
            .get(&job.client_account)
            .ok_or_else(|| Refusal::not_run(Kind::Unauthenticated, "the client account is gone"))?
            .clone();
        let version = catalog
            .active_version(&job.model)
            .ok_or_else(|| {
                Refusal::not_run(
                    Kind::NotFound,
                    format!(
                        "model {:?} has no active version; ask the operator for the models you \
                         may use",
                        job.model
                    ),
                )
            })?
            .clone();
        let rule = catalog
            .rule_for(&account, &version)
            .ok_or_else(|| {
                Refusal::not_run(
                    Kind::Forbidden,
                    format!(
                        "no placement rule lets this client account use model {:?}; ask the \
                         operator to add one",
                        job.model
                    ),
                )
            })?
            .clone();
        Ok(Self {
            catalog,
            account,
            version,
            rule,
        })
    }

    /// Contexts for the inactive versions of the same model, in descending order of their names.
    pub(crate) fn replaced_versions(&self) -> Vec<Self> {
        let versions = self.catalog.model_versions.values().rev();
        versions
            .filter(|version| version.model == self.version.model && !version.active)
            .filter_map(|version| {
                let rule = self.catalog.rule_for(&self.account, version)?.clone();
                Some(Self {
                    catalog: self.catalog.clone(),
                    account: self.account.clone(),
                    version: version.clone(),
                    rule,
                })
            })
            .collect()
    }

    /// Size of one block in bytes.
    pub(crate) fn block_bytes(&self) -> u64 {
        u64::from(self.version.piece_tokens) * u64::from(self.version.kv_bytes_per_token)
    }

    /// Block keys of the prompt, one for each complete piece.
    pub(crate) fn keys(&self, prompt: &str) -> Vec<BlockKey> {
        prefix::block_keys(
            &self.account.name,
            &self.version.digest,
            prompt.as_bytes(),
            self.version.piece_bytes,
        )
    }

    /// Describes the request to the routing crate.
    pub(crate) fn prompt_profile(&self, prompt: &str, seen_blocks: usize) -> PromptProfile {
        PromptProfile {
            prompt_tokens: prompt_tokens(prompt),
            block_tokens: u64::from(self.version.piece_tokens),
            block_bytes: self.block_bytes(),
            seen_blocks,
        }
    }
}

/// Estimated number of tokens in a prompt.
pub(crate) fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(TOKEN_BYTES)
}

/// Where a completion runs and which blocks are imported before it.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) engine: Target,
    pub(crate) choice: Choice,
    pub(crate) keys: Vec<BlockKey>,
    pub(crate) seen_blocks: usize,
    /// Prompt tokens that the engine is expected to compute.
    pub(crate) computed_tokens: u64,
    /// Blocks to import before the run.
    pub(crate) import: Option<Import>,
}

impl Plan {
    /// Expected time to the first token.
    pub(crate) fn first_token(&self) -> Duration {
        self.choice.chosen.first_token
    }
}

/// Blocks to import from one store.
#[derive(Clone, Debug)]
pub(crate) struct Import {
    pub(crate) store: TargetId,
    /// The blocks, in the order of the prompt.
    pub(crate) blocks: Vec<ImportBlock>,
}

/// One block to import.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ImportBlock {
    pub(crate) key: BlockKey,
    pub(crate) generation: Generation,
}

/// An engine as a candidate, with the store from which it could import blocks of the prompt.
struct EngineCandidate<'a> {
    candidate: Candidate<'a>,
    store: Option<&'a Leading>,
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Chooses an engine for the prompt among those that were not tried yet.
    pub(crate) fn plan(
        &self,
        context: &CompletionContext,
        job: &CompletionJob,
        keys: &[BlockKey],
        found: &FoundBlocks,
        tried_targets: &BTreeSet<String>,
    ) -> Result<Plan, routing::NoTargetAvailable> {
        let engines: Vec<EngineCandidate<'_>> = context
            .catalog
            .targets
            .values()
            .filter(|target| target.kind == TargetKind::Engine)
            .map(|target| self.engine_candidate(context, target, found, tried_targets))
            .collect();
        let candidates: Vec<Candidate<'_>> = engines
            .iter()
            .map(|engine| engine.candidate.clone())
            .collect();
        let prompt_profile = context.prompt_profile(&job.prompt, found.seen_blocks);
        let settings = self.settings();
        let tie_breaker = self.tie_breaker();
        let choice = routing::choose(
            settings.policy,
            tie_breaker,
            &prompt_profile,
            &context.rule,
            &candidates,
        )?;
        let chosen = engines
            .iter()
            .find(|engine| engine.candidate.target.name == choice.chosen.target);
        let (engine, store, memory_blocks) = chosen.map_or_else(
            || unreachable!("routing chooses among the candidates"),
            |engine| {
                let candidate = &engine.candidate;
                (
                    candidate.target.clone(),
                    engine.store,
                    candidate.memory_blocks,
                )
            },
        );
        let import = store
            .filter(|_| choice.chosen.import_blocks > 0)
            .map(|store| Import::new(store, keys, &choice.chosen));
        let estimate = &choice.chosen;
        let reused_blocks = match estimate.import_blocks {
            0 => memory_blocks,
            blocks => estimate.import_from_block + blocks,
        };
        let reused_tokens = reused_blocks as u64 * prompt_profile.block_tokens;
        Ok(Plan {
            engine,
            computed_tokens: prompt_profile.prompt_tokens.saturating_sub(reused_tokens),
            choice,
            keys: keys.to_vec(),
            seen_blocks: found.seen_blocks,
            import,
        })
    }

    fn engine_candidate<'a>(
        &self,
        context: &CompletionContext,
        target: &'a Target,
        found: &'a FoundBlocks,
        tried_targets: &BTreeSet<String>,
    ) -> EngineCandidate<'a> {
        let now = Instant::now();
        let view = self.fleet().view(&target.name);
        let memory = found.in_memory(&target.name);
        let store = stores::best_source(self, context, found, target);
        let link = store.map(|(_, link)| link);
        let report = view.as_ref().and_then(|view| view.report());
        let candidate = Candidate {
            target,
            leaving: target.leaving || view.as_ref().is_some_and(|view| view.is_leaving()),
            reachable: view.as_ref().is_some_and(|view| view.is_reachable(now))
                && !tried_targets.contains(&target.name),
            has_version: view
                .as_ref()
                .is_some_and(|view| view.has_version(&context.version.digest, now)),
            weights_load_time: Duration::ZERO,
            load: view.as_ref().map(|view| view.load(now)).unwrap_or_default(),
            memory_blocks: memory.map_or(0, |leading| leading.copies.len()),
            memory_confidence: memory.map_or(0.0, |leading| leading.confidence),
            available_blocks: store.map_or(0, |(leading, _)| leading.copies.len()),
            link_bytes_per_s: link.map_or(0.0, |link| link.rate.mean_bytes_per_s),
            link_deviation_bytes_per_s: link.map_or(0.0, |link| link.rate.variance.sqrt()),
            link_queued_bytes: link.map_or(0, |link| link.queued_bytes),
            prefill_tokens_per_s: report
                .map(|report| report.prefill_tokens_per_s)
                .filter(|rate| *rate > 0.0)
                .unwrap_or(DEFAULT_PREFILL_TOKENS_PER_S),
        };
        EngineCandidate {
            candidate,
            store: store.map(|(leading, _)| leading),
        }
    }
}

impl Import {
    /// Selects the blocks of a store that the estimate expects to import.
    fn new(store: &Leading, keys: &[BlockKey], estimate: &Estimate) -> Self {
        let copies = keys.iter().zip(&store.copies);
        Self {
            store: store.target.clone(),
            blocks: copies
                .skip(estimate.import_from_block)
                .take(estimate.import_blocks)
                .map(|(key, copy)| ImportBlock {
                    key: *key,
                    generation: copy.generation,
                })
                .collect(),
        }
    }
}
