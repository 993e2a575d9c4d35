//! `firshore serve`.

use super::Failure;
use crate::logging;
use crate::node::Node;
use crate::settings::Settings;
use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc;
use tokio::signal::unix::{SignalKind, signal};

/// Run a node.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct Serve {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
    /// callers' address, in place of the settings'
    #[argh(option)]
    callers: Option<SocketAddr>,
    /// peers' address, in place of the settings'
    #[argh(option)]
    peers: Option<SocketAddr>,
    /// operators' address, in place of the settings'
    #[argh(option)]
    admin: Option<SocketAddr>,
    /// zone, in place of the settings'
    #[argh(option)]
    zone: Option<String>,
}

impl Serve {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let mut settings =
            Settings::read(&self.settings).map_err(|error| Failure::Invalid(error.to_string()))?;
        settings.listen.callers = self.callers.unwrap_or(settings.listen.callers);
        settings.listen.peers = self.peers.unwrap_or(settings.listen.peers);
        settings.listen.admin = self.admin.unwrap_or(settings.listen.admin);
        if let Some(zone) = self.zone {
            settings.zone = zone.as_str().into();
        }
        settings
            .validate()
            .map_err(|error| Failure::Invalid(error.to_string()))?;
        let log = logging::root(&settings.log, logging::Destination::Error);
        let signals = Signals::watch();
        let node = Node::start(settings, log)
            .map_err(|error| Failure::Failed(format!("The node cannot start: {error}.")))?;
        println!(
            "callers {} peers {} admin {}",
            node.callers, node.peers, node.admin
        );
        let shared = node.shared.clone();
        signals.on_first(move || shared.leaving.begin());
        node.join();
        Ok(())
    }
}

/// SIGTERM and SIGINT: the first asks the node to leave, the second ends it at once.
struct Signals {
    first: mpsc::Sender<Box<dyn FnOnce() + Send>>,
}

impl Signals {
    /// Watches from now on, so that no signal ends the process unasked.
    fn watch() -> Self {
        let (first, action) = mpsc::channel::<Box<dyn FnOnce() + Send>>();
        let (ready, watching) = mpsc::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let mut terminate =
                    signal(SignalKind::terminate()).expect("signals can be watched");
                let mut interrupt =
                    signal(SignalKind::interrupt()).expect("signals can be watched");
                let _ = ready.send(());
                for number in 0.. {
                    tokio::select! {
                        _ = terminate.recv() => {}
                        _ = interrupt.recv() => {}
                    }
                    match action.recv() {
                        Ok(leave) if number == 0 => leave(),
                        _ => std::process::exit(1),
                    }
                }
            });
        });
        let _ = watching.recv();
        Self { first }
    }

    /// Leaves by `leave` on the first signal. Another ends the process.
    fn on_first(self, leave: impl FnOnce() + Send + 'static) {
        let _ = self.first.send(Box::new(leave));
    }
}
