//! `firshore-lab proxy`: a fault proxy as a process, controlled over HTTP.

use crate::fault_proxy::{CutKind, FaultProxy, ProxyFaults, ProxyHost};
use crate::stand_in::server::{Server, json, read_json};
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use argh::FromArgs;
use serde::Deserialize;
use serde_json::json;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Run a TCP proxy that injects faults. Set them with `POST /faults` on the control address.
#[derive(FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct ProxyCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// address to forward to
    #[argh(option)]
    upstream: SocketAddr,
    /// address of the control interface
    #[argh(option)]
    control: SocketAddr,
    /// seed of all jitter
    #[argh(option, default = "1")]
    seed: u64,
}

#[derive(Deserialize)]
struct CloseRequest {
    kind: CutKind,
}

impl ProxyCommand {
    /// Serves until the process is killed.
    pub fn run(self) -> Result<(), String> {
        let started = self.start();
        let (_host, server) =
            started.map_err(|error| format!("The proxy did not start: {error}."))?;
        server.join();
        Ok(())
    }

    fn start(self) -> io::Result<(ProxyHost, Server)> {
        let host = ProxyHost::start(self.seed)?;
        let proxy = Arc::new(host.add(self.listen, self.upstream)?);
        println!("proxy {}", proxy.address);
        let server = control(self.control, proxy)?;
        println!("control {}", server.address);
        Ok((host, server))
    }
}

/// Serves `GET|POST /faults`, `POST /close` and `GET /statistics` for a proxy.
pub fn control(address: SocketAddr, proxy: Arc<FaultProxy>) -> io::Result<Server> {
    Server::start(address, move |request| handle(proxy.clone(), request))
}

async fn handle(
    proxy: Arc<FaultProxy>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let path = request.path().to_owned();
    let answer = match (request.method().clone(), path.as_str()) {
        (Method::POST, "/faults") => read_json::<ProxyFaults>(&mut request)
            .await
            .map(|faults| proxy.set(faults)),
        (Method::POST, "/close") => read_json::<CloseRequest>(&mut request)
            .await
            .map(|close| proxy.close_connections(close.kind)),
        (Method::GET, "/statistics") => {
            return Ok(json(StatusCode::OK, &proxy.statistics()));
        }
        _ => Err(json(
            StatusCode::NOT_FOUND,
            &json!({"error": "No such path."}),
        )),
    };
    Ok(answer.map_or_else(|refused| refused, |()| json(StatusCode::OK, &json!({}))))
}
