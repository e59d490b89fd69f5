//! Listening sockets of a node.

use std::{
    io,
    net::{IpAddr, SocketAddr},
};

use eyre::{Context, Result};
use ident::NodeId;
use tokio::net::{TcpListener, UdpSocket};

/// Connections of callers that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Attempts to find a port that is free for both TCP and UDP; others may bind it meanwhile.
const PORT_ATTEMPTS: u32 = 32;

/// TCP and UDP sockets for peers, bound to the same address.
#[derive(Debug)]
pub struct NodeListeners {
    node: NodeId,
    pub(crate) tcp: TcpListener,
    pub(crate) udp: UdpSocket,
}

/// Listening sockets of an entry.
#[derive(Debug)]
pub struct EntryListeners {
    /// Sockets for its peers.
    pub node: NodeListeners,
    /// Socket for callers' HTTP requests.
    pub http: TcpListener,
}

/// Listening sockets of an agent.
#[derive(Debug)]
pub struct AgentListeners {
    /// Sockets for its peers.
    pub node: NodeListeners,
    /// Socket for the health, readiness and metrics pages; none if they are not served.
    pub pages: Option<TcpListener>,
}

impl NodeListeners {
    /// Binds both sockets to `address`.
    pub async fn bind(address: SocketAddr) -> Result<NodeListeners> {
        let tcp = TcpListener::bind(address)
            .await
            .with_context(|| format!("cannot listen on {address} (TCP)"))?;
        let address = tcp.local_addr().context("cannot read the address of the TCP listener")?;
        let udp = UdpSocket::bind(address)
            .await
            .with_context(|| format!("cannot listen on {address} (UDP)"))?;
        Ok(NodeListeners { node: NodeId(address), tcp, udp })
    }

    /// Binds both sockets to any port of `ip` that is free for TCP and UDP.
    pub async fn bind_any(ip: IpAddr) -> Result<NodeListeners> {
        let mut result = Err(io::Error::from(io::ErrorKind::AddrInUse).into());
        for _ in 0..PORT_ATTEMPTS {
            result = NodeListeners::bind(SocketAddr::new(ip, 0)).await;
            if result.is_ok() {
                break;
            }
        }
        result
    }

    /// Id of the node, which is the address of its sockets.
    pub fn node(&self) -> NodeId {
        self.node
    }
}

impl EntryListeners {
    /// Binds to `node` for peers and to `http` for callers.
    pub async fn bind(node: SocketAddr, http: SocketAddr) -> Result<EntryListeners> {
        let node = NodeListeners::bind(node).await?;
        Ok(EntryListeners { node, http: bind_http(http)? })
    }

    /// Binds to free ports of `ip`.
    pub async fn bind_any(ip: IpAddr) -> Result<EntryListeners> {
        let node = NodeListeners::bind_any(ip).await?;
        Ok(EntryListeners { node, http: bind_http(SocketAddr::new(ip, 0))? })
    }
}

impl AgentListeners {
    /// Binds to `node` for peers, without monitoring pages.
    pub async fn bind(node: SocketAddr) -> Result<AgentListeners> {
        Ok(AgentListeners { node: NodeListeners::bind(node).await?, pages: None })
    }

    /// Binds to a free port of `ip` for peers, without monitoring pages.
    pub async fn bind_any(ip: IpAddr) -> Result<AgentListeners> {
        Ok(AgentListeners { node: NodeListeners::bind_any(ip).await?, pages: None })
    }

    /// Binds to `address` for the health, readiness and metrics pages as well.
    pub async fn with_pages(self, address: SocketAddr) -> Result<AgentListeners> {
        Ok(AgentListeners { pages: Some(bind_http(address)?), ..self })
    }
}

fn bind_http(address: SocketAddr) -> Result<TcpListener> {
    intake::listen(address, BACKLOG).with_context(|| format!("cannot listen on {address} (HTTP)"))
}
