//! Whether a call is passed on to another instance, because this one gets it to no target or may use
//! no free place there.

use crate::{
    CallSource, Declined, HeaderFormat, Peer, Reason,
    active_call::ActiveCall,
    attempt::TargetAnswer,
    call_recorder::CallRecorder,
    peer_caller::PeerCall,
    refusal::{NO_TARGET_RETRY_AFTER, Unanswered},
    view::MAX_VIEW_AGE,
};

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Answers the call, or has another instance answer it if this one reaches none of its targets, or
    /// may use no free place at them.
    pub(crate) async fn answer(
        &mut self,
        recorder: &mut CallRecorder,
        source: CallSource,
    ) -> Result<TargetAnswer, Unanswered> {
        self.has_other_way = source == CallSource::Instance || self.has_peers();
        let answered = if self.is_cut_off() {
            self.note_unreached_pool();
            let declined = Declined::new(Reason::NoTarget).retry_after(NO_TARGET_RETRY_AFTER);
            Err(declined.into())
        } else {
            self.answer_here(recorder).await
        };
        let may_pass_on = source == CallSource::Caller && self.has_other_way;
        if answered.is_ok() || !may_pass_on {
            return answered;
        }
        let (reason, peers) = if self.has_no_place && self.holder.is_nobody() {
            ("no_place", self.peers_with_places())
        } else if self.has_reached_no_target() {
            ("no_target_reached", self.peers())
        } else {
            return answered;
        };
        if peers.is_empty() {
            return answered;
        }
        self.check_shutdown(recorder)?;
        recorder.line.forward_reason = reason;
        self.pass_on(peers, recorder).await
    }

    /// Has one of `peers` answer the call.
    async fn pass_on(
        &mut self,
        peers: Vec<Peer>,
        recorder: &mut CallRecorder,
    ) -> Result<TargetAnswer, Unanswered> {
        let call = PeerCall {
            id: &self.admitted.call.id,
            head: &self.head,
            body: &self.body,
            configuration: self.admitted.table.config().version,
            deadline: self.deadline(),
            is_stream: self.retry_policy().is_stream(),
            position: self.stream_position(None),
            held_bytes: &self.inner.held_bytes,
        };
        let (peer_caller, format) = (&self.inner.peer_caller, &self.inner.header_format);
        let answer = peer_caller
            .answer(format, &call, peers, &mut self.holder, recorder)
            .await?;
        let statements = &answer.metadata.statements;
        self.inner.pool_bounds.record(&self.pool, statements);
        Ok(answer)
    }

    /// The other instances that may answer the call for this one.
    fn peers(&self) -> Vec<Peer> {
        let view = self.inner.state.view();
        let reach = self.reach(&view);
        let others = reach.peers().filter(|peer| self.is_other(peer));
        others.cloned().collect()
    }

    /// The other instances that may use places of targets which bear few refusals.
    fn peers_with_places(&self) -> Vec<Peer> {
        let holders = self.place_holders();
        let mut peers = self.peers();
        peers.retain(|peer| holders.contains(&peer.seed));
        peers
    }

    fn has_peers(&self) -> bool {
        let view = self.inner.state.view();
        let reach = self.reach(&view);
        reach.peers().any(|peer| self.is_other(peer))
    }

    fn is_other(&self, peer: &Peer) -> bool {
        peer.seed != self.inner.settings.instance_seed
    }

    /// Whether this instance reaches none of the call's targets, and somebody else may.
    pub(crate) fn is_cut_off(&self) -> bool {
        let state = &self.inner.state;
        self.has_other_way && state.reachability.is_cut_off(&state.view(), &self.pool)
    }

    /// Whether the call got to no target because none could be reached, or because this instance may
    /// not know those that have replaced the ones it knows.
    pub(crate) fn has_reached_no_target(&self) -> bool {
        let is_unreached = self.unreachable_count == self.tried_targets.len();
        is_unreached
            && (self.unreachable_count > 0
                || self.is_cut_off()
                || self.knows_only_leaving_targets())
    }

    /// Whether all targets of the call's pool are leaving, by a view that may be old.
    fn knows_only_leaving_targets(&self) -> bool {
        let view = self.inner.state.view();
        let reach = self.reach(&view);
        let has_pool = view.pools.contains_key(&self.pool);
        let are_leaving = has_pool && reach.targets(&self.pool).all(|target| target.is_leaving());
        are_leaving && !view.is_confirmed_within(MAX_VIEW_AGE)
    }
}
