//! What shows that a target has crashed that broke off a call.

use {
    crate::{
        Client, IncarnationProbe, SendError, client::PROCESS_EXIT_TIME, incarnation::Statement,
    },
    std::{
        io::ErrorKind,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Time for which a target is asked until its address shows what became of it. A crash that is known later
/// holds back too few calls.
const CHECK_TIME: Duration = Duration::from_secs(2);
/// Time for one answer. Then the question goes on another connection: what stands before a target that is
/// gone may keep the present one for good.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the second question; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// What shows that a target has crashed, after it broke off a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEvidence {
    /// Nothing listens at its address, or another process answers there.
    Shown,
    /// For two seconds its address ended every connection before an answer. That a proxy does so shows
    /// nothing of the target unless the path to other targets holds: it may have been cut.
    Unanswered,
    /// It answers, or nothing is known: it is slow or cannot be reached.
    Absent,
}

/// What one question shows.
enum Seen {
    /// What that shows of the target, for certain.
    Certain(CrashEvidence),
    /// The connection was accepted and ended without an answer.
    Closed,
    /// Nothing.
    Nothing,
}

impl CrashEvidence {
    /// Asks at `address` which process is there until that is certain, for two seconds and one answer at
    /// most. Without a `probe` nobody can be asked, and only an address that refuses connections is evidence.
    pub async fn gather(
        client: &Client,
        address: SocketAddr,
        probe: Option<&IncarnationProbe>,
    ) -> Self {
        // A process that ends closes its connections one after another, and the one it listens at.
        sleep(PROCESS_EXIT_TIME).await;
        let began = Instant::now();
        let mut is_always_closed = true;
        let mut pause = FIRST_PAUSE;
        loop {
            match ask(client, address, probe).await {
                Seen::Certain(evidence) => return evidence,
                Seen::Closed => {}
                Seen::Nothing => is_always_closed = false,
            }
            let time_left = CHECK_TIME.saturating_sub(began.elapsed());
            if time_left.is_zero() {
                break;
            }
            sleep(pause.min(time_left)).await;
            pause *= 2;
        }
        if is_always_closed {
            Self::Unanswered
        } else {
            Self::Absent
        }
    }
}

/// Asks once, on a new connection.
async fn ask(client: &Client, address: SocketAddr, probe: Option<&IncarnationProbe>) -> Seen {
    let stream = match client.open(address).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            return Seen::Certain(CrashEvidence::Shown);
        }
        Err(_) => return Seen::Nothing,
    };
    let Some(probe) = probe else {
        return Seen::Certain(CrashEvidence::Absent);
    };
    let Ok(connection) = client.begin(stream).await else {
        return Seen::Closed;
    };
    let asked = probe.ask(client, address, connection, ANSWER_TIMEOUT);
    match timeout(ANSWER_TIMEOUT, asked).await {
        Ok(Ok(said)) => match said.statement {
            Statement::Process(stated) if probe.expected.agrees_with(&stated) => {
                Seen::Certain(CrashEvidence::Absent)
            }
            Statement::Process(_) | Statement::OtherTarget => Seen::Certain(CrashEvidence::Shown),
            Statement::OtherQuestion | Statement::Nothing => Seen::Nothing,
        },
        Ok(Err(
            SendError::Unknown {
                disconnected: true, ..
            }
            | SendError::NotSent { .. },
        )) => Seen::Closed,
        Ok(Err(_)) | Err(_) => Seen::Nothing,
    }
}
