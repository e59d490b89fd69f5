//! Answers connections above the limit.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::OwnedSemaphorePermit,
    time::timeout,
};

/// Answer to a connection above the limit; its request is not read, so nothing
/// is claimed about the id in it.
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

/// Time for the caller to read the answer and close the connection.
const LINGER: Duration = Duration::from_secs(1);

/// Tells a caller that too many connections are open.
///
/// The connection is kept until the caller closes it: closing it with bytes of
/// the request unread would take the answer back.
pub(crate) async fn turn_away(mut stream: TcpStream, permit: OwnedSemaphorePermit) {
    let answer = async {
        stream.write_all(TOO_MANY_CONNECTIONS.as_bytes()).await?;
        stream.shutdown().await?;
        let mut ignored = [0; 1024];
        while stream.read(&mut ignored).await? > 0 {}
        Ok::<(), std::io::Error>(())
    };
    let _ = timeout(LINGER, answer).await;
    drop(permit);
}
