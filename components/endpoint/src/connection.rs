//! HTTP/1.1 connection to an endpoint.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, Uri,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use node::LinkError;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, timeout},
};
use verdict::Answer;

/// Largest accepted body of an answer.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Time after an answer for which a connection counts as alive.
const ALIVE_PERIOD: Duration = Duration::from_millis(200);
/// Time within which a connection must answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection with at most one request at a time; it is closed on drop.
#[derive(Debug)]
pub(crate) struct Connection {
    host: HeaderValue,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    last_answer: Instant,
}

impl Connection {
    /// Opens a connection; nothing of a request has been sent if it fails.
    pub(crate) async fn open(address: SocketAddr) -> Result<Connection, LinkError> {
        let host = HeaderValue::try_from(address.to_string()).map_err(|_| LinkError::NotSent)?;
        let stream = TcpStream::connect(address).await.map_err(|_| LinkError::NotSent)?;
        stream.set_nodelay(true).map_err(|_| LinkError::NotSent)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| LinkError::NotSent)?;
        let driver = tokio::spawn(async move {
            // The request in progress gets the same error.
            let _ = connection.await;
        });
        Ok(Connection { host, sender, driver, last_answer: Instant::now() })
    }

    /// Whether the endpoint answered on it within [`ALIVE_PERIOD`].
    pub(crate) fn answered_recently(&self) -> bool {
        self.last_answer.elapsed() < ALIVE_PERIOD
    }

    /// Whether the connection is alive; probes the endpoint if it has been idle.
    pub(crate) async fn check_alive(&mut self) -> bool {
        if self.sender.is_closed() {
            return false;
        }
        if self.answered_recently() {
            return true;
        }
        let mut probe = Request::new(Full::default());
        *probe.uri_mut() = Uri::from_static("/health");
        matches!(timeout(PROBE_TIMEOUT, self.send(probe)).await, Ok(Ok(_)))
    }

    /// Sends a request and reads its whole answer.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Answer, LinkError> {
        request.headers_mut().insert(HOST, self.host.clone());
        self.sender.ready().await.map_err(|_| LinkError::NotSent)?;
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut err| match err.take_message() {
            Some(_) => LinkError::NotSent,
            None => LinkError::Lost,
        })?;
        let answer = read_whole(response).await?;
        self.last_answer = Instant::now();
        Ok(answer)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn read_whole(response: Response<Incoming>) -> Result<Answer, LinkError> {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|_| LinkError::Lost)?;
    Ok(Answer { status, body: body.to_bytes().to_vec() })
}
