//! Follows the machine list.

use crate::platform::machine_list;
use crate::shared::Shared;
use std::sync::Arc;
use std::time::Duration;

const MACHINE_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the machine list until the node ends.
pub async fn run(shared: Arc<Shared>) {
    loop {
        if let Some(machines) = machine_list::read(&shared.settings.platform.machine_list).await {
            shared.router.lock().update(shared.clock.now(), &machines);
            *shared.machines.write() = Arc::new(machines);
        }
        actix_rt::time::sleep(MACHINE_LIST_INTERVAL).await;
    }
}
