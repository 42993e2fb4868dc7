//! The question whether the process that a target's registration names answers at its address.

use {
    crate::{
        Client, Incarnation, IncarnationProbe,
        client::Connection,
        incarnation::{Said, Statement},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Longest wait for an answer on a connection that was idle, which something on the path may have dropped.
const IDLE_ANSWER_TIME: Duration = Duration::from_millis(100);

/// What a target that is asked says of the process at its address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessAnswer {
    /// It is the expected one.
    Expected,
    /// It is another one, which states that it started then, in milliseconds since the Unix epoch, if it states that.
    Other(Option<u64>),
    /// It does not state its start, so that two starts cannot be told apart.
    Unstated,
    /// Nothing.
    Missing,
}

impl ProcessAnswer {
    /// Name in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Expected => "expected",
            Self::Other(_) => "other",
            Self::Unstated => "unstated",
            Self::Missing => "missing",
        }
    }
}

impl Client {
    /// Asks which process answers at `address`, for `limit` at most. The connection is kept for further questions,
    /// so calls should go on those of another client.
    pub async fn ask_process(
        &self,
        address: SocketAddr,
        probe: &IncarnationProbe,
        limit: Duration,
    ) -> ProcessAnswer {
        let asking = async {
            if let Some(idle) = self.take_idle(address, None)
                && let Some(answer) = self.ask_on(address, idle, probe, IDLE_ANSWER_TIME).await
            {
                return Some(answer);
            }
            let fresh = self.connect(address).await.ok()?;
            self.ask_on(address, fresh, probe, limit).await
        };
        let answer = timeout(limit, asking).await;
        answer.ok().flatten().unwrap_or(ProcessAnswer::Missing)
    }

    async fn ask_on(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        probe: &IncarnationProbe,
        limit: Duration,
    ) -> Option<ProcessAnswer> {
        if !self.is_ready(&mut connection).await {
            return None;
        }
        let asked = timeout(limit, probe.ask(self, address, connection, limit)).await;
        let Said {
            statement,
            connection,
            ..
        } = asked.ok()?.ok()?;
        if let Some(connection) = connection {
            self.put_idle(address, connection, None);
        }
        match statement {
            Statement::Process(stated) => compare(&probe.expected, &stated),
            Statement::OtherTarget => Some(ProcessAnswer::Other(None)),
            Statement::OtherQuestion | Statement::Nothing => None,
        }
    }
}

/// What a statement says of the expected process; `None` if it says nothing, as a refusal does.
fn compare(expected: &Incarnation, stated: &Incarnation) -> Option<ProcessAnswer> {
    if *stated == Incarnation::default() {
        None
    } else if !expected.agrees_with(stated) {
        let is_same_target = expected.is_same_target(stated);
        Some(ProcessAnswer::Other(
            stated.started_unix_ms.filter(|_| is_same_target),
        ))
    } else if stated.started_unix_ms.is_none() {
        Some(ProcessAnswer::Unstated)
    } else {
        Some(ProcessAnswer::Expected)
    }
}
