//! Which process of a target answers at its address.

use {
    crate::{
        Client, SendError,
        client::{Connection, Exchange},
        connection_errors::closed_unwritten,
    },
    bytes::Bytes,
    catalog::TargetId,
    http_body_util::Full,
    hyper::{
        HeaderMap, Request, StatusCode,
        header::{HeaderName, HeaderValue},
    },
    std::{net::SocketAddr, time::Duration},
};

/// One start of a target. A target that starts again, also under the same id and address, is another
/// incarnation.
///
/// ```
/// use target::Incarnation;
///
/// let begun = Incarnation::default().target("engine-1").started_unix_ms(1_000);
/// let restarted = Incarnation::default().target("engine-1").started_unix_ms(2_000);
/// let nameless = Incarnation::default().started_unix_ms(1_000);
/// assert!(!begun.agrees_with(&restarted));
/// assert!(begun.agrees_with(&nameless));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Incarnation {
    /// Id of the target; `None` if it is not stated.
    pub target: Option<TargetId>,
    /// When it started by its own clock, in milliseconds since the Unix epoch; `None` if that is not
    /// stated.
    pub started_unix_ms: Option<u64>,
}

impl Incarnation {
    /// Sets the id of the target.
    #[must_use]
    pub fn target<Id>(mut self, id: Id) -> Self
    where
        Id: Into<TargetId>,
    {
        self.target = Some(id.into());
        self
    }

    /// Sets when it started, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn started_unix_ms(mut self, started_unix_ms: u64) -> Self {
        self.started_unix_ms = Some(started_unix_ms);
        self
    }

    /// Whether `stated`, which a process says of itself, may be said of this target: its id is no other one.
    #[must_use]
    pub fn is_same_target(&self, stated: &Self) -> bool {
        are_equal(self.target.as_ref(), stated.target.as_ref())
    }

    /// Whether `stated`, which a process says of itself, may be said of this incarnation: neither its id nor
    /// its start is another one.
    #[must_use]
    pub fn agrees_with(&self, stated: &Self) -> bool {
        let is_same_start = are_equal(
            self.started_unix_ms.as_ref(),
            stated.started_unix_ms.as_ref(),
        );
        self.is_same_target(stated) && is_same_start
    }
}

/// Whether two values are equal, as far as both are known.
fn are_equal<Value>(one: Option<&Value>, other: Option<&Value>) -> bool
where
    Value: PartialEq,
{
    one.is_none() || other.is_none() || one == other
}

/// Asks a target which incarnation answers at its address.
#[derive(Clone, Debug)]
pub struct IncarnationProbe {
    /// Request that the target answers without running a call, and that any other target may refuse with
    /// status 421.
    pub request: Request<Full<Bytes>>,
    /// Header in which a question carries an id of its own and its answer repeats it; `None` if there is none.
    pub id_header: Option<HeaderName>,
    /// Incarnation that must answer.
    pub expected: Incarnation,
    /// What an answer with these headers and this body, which may be empty, states; `None` if nothing shows
    /// that a target sent it, rather than something before it.
    pub parse: fn(&HeaderMap, &[u8]) -> Option<Incarnation>,
}

/// What an answer says of the process that sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Statement {
    /// Which one it is.
    Process(Incarnation),
    /// That it is another target than the one that was asked.
    OtherTarget,
    /// That it is the answer to another question, perhaps a late copy.
    OtherQuestion,
    /// Nothing.
    Nothing,
}

/// What came of a question.
pub(crate) struct Said {
    pub(crate) statement: Statement,
    /// Whether the answer names the question.
    pub(crate) names_question: bool,
    /// The connection if it can carry another request.
    pub(crate) connection: Option<Connection>,
}

impl IncarnationProbe {
    /// Asks on `connection` which process answers, within `answer_timeout` for the head of the answer and
    /// again for its body.
    pub(crate) async fn ask(
        &self,
        client: &Client,
        address: SocketAddr,
        connection: Connection,
        answer_timeout: Duration,
    ) -> Result<Said, SendError> {
        let mut request = self.request.clone();
        let id = HeaderValue::from(rand::random::<u64>());
        if let Some(header) = &self.id_header {
            request.headers_mut().insert(header, id.clone());
        }
        let exchange = client.exchange(address, connection, request, None, &answer_timeout);
        let reply = match exchange.await {
            Exchange::Done(reply) => reply?,
            Exchange::Unsent(_) => return Err(closed_unwritten(address)),
        };
        let (status, headers) = (reply.status(), reply.headers().clone());
        let (body, connection) = reply.into_delimited(answer_timeout).await?;
        let named = self.id_header.as_ref().and_then(|it| headers.get(it));
        let names_question = named.is_some_and(|it| *it == id);
        let statement = if named.is_some() && !names_question {
            Statement::OtherQuestion
        } else if status == StatusCode::MISDIRECTED_REQUEST {
            Statement::OtherTarget
        } else {
            let stated = (self.parse)(&headers, &body);
            stated.map_or(Statement::Nothing, Statement::Process)
        };
        Ok(Said {
            statement,
            names_question,
            connection,
        })
    }
}
