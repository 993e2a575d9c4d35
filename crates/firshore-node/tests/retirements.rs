//! Nodes to drain, as listed from the store.

use firshore_node::journal::retirement::Retirements;
use firshore_stand_in::adapter::{RETIREMENTS, adapter};
use firshore_stand_in::store::MemoryStore;
use serde_json::json;
use slog::{Discard, Logger, o};

/// Survivors of a lost quorum that know only some of the retirements may rely on a disk that is being removed.
#[test]
fn retirement_beyond_the_first_page_was_unknown() {
    actix_rt::System::new().block_on(async {
        let store = MemoryStore::new();
        let names = ["a&", "a+", "a b", "a#", "n1", "n2", "n3", "n4"];
        for name in names {
            store.put(RETIREMENTS, name, json!({}));
        }
        let retirements = Retirements::default();
        let log = Logger::root(Discard, o!());
        assert!(retirements.list(&adapter(store), &log).await);
        let leaving = retirements.leaving().unwrap();
        for name in names {
            assert!(leaving.open.contains(&name.into()), "{name}");
        }
    });
}
