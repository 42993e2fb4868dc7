//! The remote calls between instances.

// The attribute below generates a request and a response type without comments.
#![allow(missing_docs)]

use {
    crate::{
        Batch, FollowAnswer, MergedBatch, MergedRequest, PlacesRequest, former_batch::FormerBatch,
    },
    catalog::Revision,
    origins::{OriginKnowledge, OriginRecord, StreamKey},
    parts::Position,
    std::time::Duration,
};

#[tarpc::service]
pub(crate) trait FeedService {
    /// Returns what was learned since `since`, or the whole state. Without changes it waits up to
    /// `wait` for one.
    async fn read(since: Option<Position>, wait: Duration) -> FormerBatch;

    /// Keeps `records`, and returns what is known of the origins of the streams in `asked`.
    async fn exchange_origins(
        records: Vec<OriginRecord>,
        asked: Vec<StreamKey>,
    ) -> Vec<OriginKnowledge>;

    /// Returns the longest time without word from the key-value service in the last `within`; all
    /// of `within` if this instance cannot tell.
    async fn service_gap(within: Duration) -> Duration;

    /// Returns what was learned of the requested places, and the calls in flight with their tokens.
    async fn read_places(request: PlacesRequest) -> Batch;

    /// Returns what this instance knows of the others in the requested scope; `None` if it reads no
    /// other instances for its failure domain.
    async fn read_merged(request: MergedRequest) -> Option<MergedBatch>;

    /// Returns the changes in the key-value service after revision `since` of an incarnation, if this
    /// instance watches the service itself. Without changes it waits up to `wait` for one.
    async fn follow(incarnation: u64, since: Revision, wait: Duration) -> FollowAnswer;
}
