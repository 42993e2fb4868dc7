//! Where a completion should run, from everything known at the moment.

use {
    crate::{FoundBlocks, PeerDirectory, RequestHandler, stores},
    catalog::{Catalog, ClientAccount, ModelVersion, PlacementRule, Target, TargetId, TargetKind},
    directory::{Generation, Leading},
    gateway::{CompletionJob, Refusal, RefusalKind},
    keyvalue::KeyValue,
    prefix::BlockKey,
    routing::{Candidate, Choice, Estimate, PromptProfile},
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Text bytes of one token, as long as no tokenizer is known.
const TOKEN_BYTES: u64 = 4;
/// Prompt tokens an engine is assumed to compute a second before it has reported.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 10_000.0;
/// What a completion is planned with: one state of the configuration and what follows from it.
#[derive(Clone, Debug)]
pub(crate) struct Scope {
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) account: ClientAccount,
    pub(crate) version: ModelVersion,
    pub(crate) rule: PlacementRule,
}

impl Scope {
    /// The scope of a job under one state of the configuration.
    pub(crate) fn new(catalog: Arc<Catalog>, job: &CompletionJob) -> Result<Self, Refusal> {
        let account = catalog
            .client_accounts
            .get(&job.client_account)
            .ok_or_else(|| {
                Refusal::not_run(RefusalKind::Unauthenticated, "the client account is gone")
            })?
            .clone();
        let version = catalog
            .active_version(&job.model)
            .ok_or_else(|| {
                Refusal::not_run(
                    RefusalKind::NotFound,
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
                    RefusalKind::Forbidden,
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

    /// The same for versions of the model that are being replaced, newest name first.
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

    /// Keys of the prompt's whole pieces.
    pub(crate) fn keys(&self, prompt: &str) -> Vec<BlockKey> {
        prefix::block_keys(
            &self.account.name,
            &self.version.digest,
            prompt.as_bytes(),
            self.version.piece_bytes,
        )
    }

    /// What routing needs to know of the request.
    pub(crate) fn job(&self, prompt: &str, seen_blocks: usize) -> PromptProfile {
        PromptProfile {
            prompt_tokens: prompt_tokens(prompt),
            block_tokens: u64::from(self.version.piece_tokens),
            block_bytes: self.block_bytes(),
            seen_blocks,
        }
    }
}

/// Tokens of a prompt.
pub(crate) fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(TOKEN_BYTES)
}

/// Where a completion should run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) engine: Target,
    pub(crate) choice: Choice,
    pub(crate) keys: Vec<BlockKey>,
    pub(crate) seen_blocks: usize,
    /// Prompt tokens that the engine is expected to compute.
    pub(crate) computed_tokens: u64,
    /// Blocks to import first.
    pub(crate) import: Option<Import>,
}

impl Plan {
    /// Expected time to first token.
    pub(crate) fn first_token(&self) -> Duration {
        self.choice.chosen.first_token
    }
}

/// Blocks to import from one store.
#[derive(Clone, Debug)]
pub(crate) struct Import {
    pub(crate) store: TargetId,
    /// First piece first.
    pub(crate) blocks: Vec<ImportBlock>,
}

/// One block to import.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ImportBlock {
    pub(crate) key: BlockKey,
    pub(crate) generation: Generation,
}

/// One engine with what is known of it for this prompt.
struct Known<'a> {
    candidate: Candidate<'a>,
    store: Option<&'a Leading>,
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Chooses an engine for the prompt, leaving out those already tried.
    pub(crate) fn plan(
        &self,
        scope: &Scope,
        job: &CompletionJob,
        keys: &[BlockKey],
        found: &FoundBlocks,
        tried: &BTreeSet<String>,
    ) -> Result<Plan, routing::NoTargetAvailable> {
        let known: Vec<Known<'_>> = scope
            .catalog
            .targets
            .values()
            .filter(|target| target.kind == TargetKind::Engine)
            .map(|target| self.known(scope, target, found, tried))
            .collect();
        let candidates: Vec<Candidate<'_>> =
            known.iter().map(|known| known.candidate.clone()).collect();
        let routed = scope.job(&job.prompt, found.seen_blocks);
        let settings = self.settings();
        let draw = self.draw();
        let choice = routing::choose(settings.policy, draw, &routed, &scope.rule, &candidates)?;
        let chosen = known
            .iter()
            .find(|known| known.candidate.target.name == choice.chosen.target);
        let (engine, store, memory_blocks) = chosen.map_or_else(
            || unreachable!("routing chooses among the candidates"),
            |known| {
                let candidate = &known.candidate;
                (
                    candidate.target.clone(),
                    known.store,
                    candidate.memory_blocks,
                )
            },
        );
        let import = store
            .filter(|_| choice.chosen.import_blocks > 0)
            .map(|store| Import::new(store, keys, &choice.chosen));
        let estimate = &choice.chosen;
        let had_blocks = match estimate.import_blocks {
            0 => memory_blocks,
            blocks => estimate.import_from_block + blocks,
        };
        let had_tokens = had_blocks as u64 * routed.block_tokens;
        Ok(Plan {
            engine,
            computed_tokens: routed.prompt_tokens.saturating_sub(had_tokens),
            choice,
            keys: keys.to_vec(),
            seen_blocks: found.seen_blocks,
            import,
        })
    }

    fn known<'a>(
        &self,
        scope: &Scope,
        target: &'a Target,
        found: &'a FoundBlocks,
        tried: &BTreeSet<String>,
    ) -> Known<'a> {
        let now = Instant::now();
        let view = self.fleet().view(&target.name);
        let memory = found.in_memory(&target.name);
        let store = stores::best_source(self, scope, found, target);
        let link = store.map(|(_, link)| link);
        let report = view.as_ref().and_then(|view| view.report());
        let candidate = Candidate {
            target,
            leaving: target.leaving || view.as_ref().is_some_and(|view| view.is_leaving()),
            reachable: view.as_ref().is_some_and(|view| view.is_reachable(now))
                && !tried.contains(&target.name),
            has_version: view
                .as_ref()
                .is_some_and(|view| view.has_version(&scope.version.digest, now)),
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
        Known {
            candidate,
            store: store.map(|(leading, _)| leading),
        }
    }
}

impl Import {
    /// The blocks of a store that an estimate counts on.
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
