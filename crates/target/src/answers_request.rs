//! Which request an answer belongs to.

use {
    crate::{Reply, SendError},
    snafu::Snafu,
};

/// Header in which engines and plain services of the own deployment repeat the id of a request.
const REQUEST_ID: &str = "x-request-id";

/// Shows that an answer belongs to the request that it was read for, and not to another one of the
/// same connection. Only [`Reply::check_id`] makes one.
#[derive(Debug)]
#[must_use]
pub struct AnswersRequest(());

/// Why an answer may belong to another request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Unattributed {
    /// It names the id of another request.
    #[snafu(display("the answer belongs to another request"))]
    OtherRequest,
    /// It names no id, and its connection has carried other requests, whose late answer it may be.
    #[snafu(display("the answer names no request, and its connection carried others before"))]
    NoRequestId,
}

impl Reply {
    /// Checks that this answers its request; `named` is the id that the answer names.
    ///
    /// The id of the request shows that, since its connection has carried that request once. An answer
    /// without an id belongs to the request only if its connection carried no other one. Such a connection
    /// is not reused, since a later answer there could not be told from one to another request.
    ///
    /// # Errors
    /// [`Unattributed`] if the answer may belong to another request. The answer to this one may still
    /// follow, so drop the reply, which closes the connection.
    pub fn check_id(&mut self, named: Option<&str>) -> Result<AnswersRequest, Unattributed> {
        match named {
            Some(named) if self.carried_id() == Some(named) => Ok(AnswersRequest(())),
            Some(_) => Err(Unattributed::OtherRequest),
            None if !self.is_first_of_connection() => Err(Unattributed::NoRequestId),
            None => {
                self.forbid_reuse();
                Ok(AnswersRequest(()))
            }
        }
    }

    /// Like [`Reply::check_id`], for answers that name their request in `x-request-id`.
    pub(crate) fn check_id_header(&mut self) -> Result<AnswersRequest, SendError> {
        let named = self.headers().get(REQUEST_ID);
        let named = named.map(|it| String::from_utf8_lossy(it.as_bytes()).into_owned());
        self.check_id(named.as_deref())
            .map_err(|unattributed| SendError::Unknown {
                address: self.address(),
                reason: unattributed.to_string(),
                disconnected: false,
            })
    }
}
