//! Sockets that a node listens on.

use std::{
    io,
    net::{IpAddr, SocketAddr},
};

use eyre::{Context, Result};
use ident::NodeId;
use tokio::net::{TcpListener, UdpSocket};

/// Attempts to find a port that is free for both TCP and UDP.
const PORT_ATTEMPTS: u32 = 32;

/// Sockets for a node's peers, both at the same address.
#[derive(Debug)]
pub struct NodeListeners {
    node: NodeId,
    pub(crate) tcp: TcpListener,
    pub(crate) udp: UdpSocket,
}

/// Sockets of an entry.
#[derive(Debug)]
pub struct EntryListeners {
    /// Sockets for its peers.
    pub node: NodeListeners,
    /// Socket for callers.
    pub http: TcpListener,
}

/// Sockets of an agent.
#[derive(Debug)]
pub struct AgentListeners {
    /// Sockets for its peers.
    pub node: NodeListeners,
    /// Socket for the pages on health and metrics, if it has any.
    pub pages: Option<TcpListener>,
}

impl NodeListeners {
    /// Listens on `address`.
    pub async fn bind(address: SocketAddr) -> Result<NodeListeners> {
        let tcp = TcpListener::bind(address)
            .await
            .with_context(|| format!("cannot listen on {address} by TCP"))?;
        let address = tcp.local_addr().context("the listener has no address")?;
        let udp = UdpSocket::bind(address)
            .await
            .with_context(|| format!("cannot listen on {address} by UDP"))?;
        Ok(NodeListeners { node: NodeId(address), tcp, udp })
    }

    /// Listens on any port of `ip` that is free for both TCP and UDP.
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

    /// Name of the node that listens here.
    pub fn node(&self) -> NodeId {
        self.node
    }
}

impl EntryListeners {
    /// Listens on `node` for peers and on `http` for callers.
    pub async fn bind(node: SocketAddr, http: SocketAddr) -> Result<EntryListeners> {
        let node = NodeListeners::bind(node).await?;
        Ok(EntryListeners { node, http: bind_http(http).await? })
    }

    /// Listens on any free ports of `ip`.
    pub async fn bind_any(ip: IpAddr) -> Result<EntryListeners> {
        let node = NodeListeners::bind_any(ip).await?;
        Ok(EntryListeners { node, http: bind_http(SocketAddr::new(ip, 0)).await? })
    }
}

impl AgentListeners {
    /// Listens on `node` for peers and serves no pages.
    pub async fn bind(node: SocketAddr) -> Result<AgentListeners> {
        Ok(AgentListeners { node: NodeListeners::bind(node).await?, pages: None })
    }

    /// Listens on any free port of `ip` and serves no pages.
    pub async fn bind_any(ip: IpAddr) -> Result<AgentListeners> {
        Ok(AgentListeners { node: NodeListeners::bind_any(ip).await?, pages: None })
    }

    /// Serves pages for health and metrics on `address` as well.
    pub async fn with_pages(self, address: SocketAddr) -> Result<AgentListeners> {
        Ok(AgentListeners { pages: Some(bind_http(address).await?), ..self })
    }
}

async fn bind_http(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address} by HTTP"))
}
