//! What shows the end of the answers of one connection.

use {
    crate::close_after,
    hyper::{Response, Version, body::Body},
    std::{
        sync::atomic::{AtomicBool, Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Time for what was sent before to arrive, since a reset discards what has not.
const DELIVERY_TIME: Duration = Duration::from_millis(50);

/// What shows the end of the answers of one connection: a length or chunks, or only the connection's end.
#[derive(Debug, Default)]
pub struct AnswerFraming {
    ends_with_connection: AtomicBool,
}

impl AnswerFraming {
    /// Takes note of the answer to a request of this version. If only the connection's end will show that
    /// of the answer, its head says that the connection ends.
    pub fn observe<ResponseBody>(&self, version: Version, response: &mut Response<ResponseBody>)
    where
        ResponseBody: Body,
    {
        if version >= Version::HTTP_11 || response.body().size_hint().exact().is_some() {
            return;
        }
        close_after(version, response);
        self.ends_with_connection.store(true, Ordering::Relaxed);
    }

    /// Lets what was sent before a break-off arrive, if the connection will be reset.
    pub async fn deliver(&self) {
        if self.ends_with_connection() {
            sleep(DELIVERY_TIME).await;
        }
    }

    pub(crate) fn ends_with_connection(&self) -> bool {
        self.ends_with_connection.load(Ordering::Relaxed)
    }
}
