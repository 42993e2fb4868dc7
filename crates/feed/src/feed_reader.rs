//! The client that reads the feed of another instance.

use {
    crate::{Batch, FeedError, MergedBatch, MergedRequest, PlacesRequest, connection::Connection},
    parts::Position,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of an answer, in addition to the time for which the call lets the instance wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of broken connections in a row from which the instance is taken for one of an older build,
/// which knows only [`FeedReader::read`].
const MAX_BREAKS_COUNT: u32 = 3;
/// Number of reads after which a build is looked at again.
const FORMER_READS_COUNT: u32 = 100;

/// Reads the feed of one instance over one connection, which is replaced when it fails.
#[derive(Debug)]
pub struct FeedReader {
    connection: Connection,
    /// Connections in a row that broke at [`FeedReader::read_places`].
    breaks_count: u32,
    /// Reads for which the instance is still taken for one of an older build.
    former_reads_count: u32,
}

impl FeedReader {
    /// Creates a reader of the instance at `peer`. It connects with the first call.
    #[must_use]
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            connection: Connection::new(peer),
            breaks_count: 0,
            former_reads_count: 0,
        }
    }

    /// Returns what the instance has learned since `since`, or its whole state. If there are no
    /// changes, the instance waits up to `wait` for one before it answers.
    ///
    /// # Errors
    /// Returns [`FeedError`] if the feed cannot be read now; the call may be repeated.
    pub async fn read(
        &mut self,
        since: Option<Position>,
        wait: Duration,
    ) -> Result<Batch, FeedError> {
        let read = self
            .connection
            .call(wait + ANSWER_TIMEOUT, async |client, context| {
                client.read(context, since, wait).await
            });
        read.await.map(Batch::from)
    }

    /// Returns what the instance has learned of the requested places. An instance of an older build is
    /// asked as [`FeedReader::read`] does.
    ///
    /// # Errors
    /// Returns [`FeedError`] if the feed cannot be read now; the call may be repeated.
    pub async fn read_places(&mut self, request: &PlacesRequest) -> Result<Batch, FeedError> {
        if self.former_reads_count > 0 {
            self.former_reads_count -= 1;
            return self.read_former(request).await;
        }
        let answer = self
            .connection
            .call(request.wait + ANSWER_TIMEOUT, async |client, context| {
                client.read_places(context, request.clone()).await
            })
            .await;
        let is_break = matches!(answer, Err(FeedError::Call { .. }));
        self.breaks_count = if is_break { self.breaks_count + 1 } else { 0 };
        if self.breaks_count >= MAX_BREAKS_COUNT {
            self.breaks_count = 0;
            self.former_reads_count = FORMER_READS_COUNT;
        }
        answer
    }

    async fn read_former(&mut self, request: &PlacesRequest) -> Result<Batch, FeedError> {
        let since = request.since.filter(|_| request.added_places.is_empty());
        let batch = self.read(since, request.wait).await?;
        Ok(Batch {
            followed_places: request.places.clone(),
            ..batch
        })
    }

    /// Returns what the instance knows of all instances in the requested scope; `None` if it is no
    /// aggregator.
    ///
    /// # Errors
    /// Returns [`FeedError`] if the feed cannot be read now, or the instance is of a build without
    /// merged feeds.
    pub async fn read_merged(
        &mut self,
        request: &MergedRequest,
    ) -> Result<Option<MergedBatch>, FeedError> {
        self.connection
            .call(ANSWER_TIMEOUT, async |client, context| {
                client.read_merged(context, request.clone()).await
            })
            .await
    }
}
