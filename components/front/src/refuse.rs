//! Error response to connections above the limit.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::OwnedSemaphorePermit,
    time::timeout,
};

/// Response to a connection above the limit.
///
/// The request is not parsed, and its id may belong to an earlier submission, so the
/// verdict is `may_have_run`.
const TOO_MANY_CONNECTIONS: &str = concat!(
    "HTTP/1.1 503 Service Unavailable\r\n",
    "content-type: application/json\r\n",
    "content-length: 163\r\n",
    "connection: close\r\n",
    "primrosemux-verdict: may_have_run\r\n",
    "retry-after: 1\r\n\r\n",
    r#"{"error":{"id":null,"verdict":"may_have_run","reason":"overloaded","field":null,"#,
    r#""message":"Too many connections are open; come back later.","retry_after_ms":1000}}"#,
);

/// Time within which the caller must read the response and close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers that too many connections are open, and waits until the caller closes its own.
///
/// Closing a connection with unread bytes sends a TCP reset, which can discard the
/// response before the caller has read it.
pub(crate) async fn refuse_connection(mut stream: TcpStream, permit: OwnedSemaphorePermit) {
    let answer = async {
        stream.write_all(TOO_MANY_CONNECTIONS.as_bytes()).await?;
        stream.shutdown().await?;
        let mut ignored = [0; 1024];
        while stream.read(&mut ignored).await? > 0 {}
        Ok::<(), std::io::Error>(())
    };
    let _ = timeout(CLOSE_TIMEOUT, answer).await;
    drop(permit);
}
