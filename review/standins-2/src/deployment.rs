//! A small deployment on loopback addresses: store, replicas and entry VMs.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::time::Duration;

use crate::fleet::{Block, Fleet};
use crate::record::Record;
use crate::replica::{Replica, Work};
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "orders.example";
/// Key of the tenant.
pub const KEY: &str = "3fexd9dnn2ctnfzs989a";
/// Time that the VMs get to become ready.
const READY_TIME: Duration = Duration::from_secs(20);

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    folder: PathBuf,
    block: Block,
    fleet: OnceLock<Fleet>,
}

impl Deployment {
    /// Chooses addresses and a temporary folder, and starts the store.
    pub fn create(record: &Path) -> io::Result<Self> {
        let block = Block::choose()?;
        let name = format!("ibisdale-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        Ok(Self {
            record: Record::create(record)?,
            store: Store::start(block.store())?,
            folder,
            block,
            fleet: OnceLock::new(),
        })
    }

    /// Starts a replica.
    pub fn add_replica(
        &self,
        index: u8,
        service: &'static str,
        slots: u32,
        work: &Work,
    ) -> io::Result<()> {
        let replica = Replica {
            id: format!("i-{service}-{index}"),
            service,
            address: self.block.replica(index),
            slots,
        };
        replica.start(&self.store, work)
    }

    /// Writes the configuration.
    pub fn configure(&self, routes: &str, rate_per_s: u32, burst: u32) {
        let text = format!(
            "{{\"version\":7,\"routes\":[{routes}],\"services\":[\
             {{\"name\":\"agent-llm\",\"health_path\":\"/health\",\"max_conns\":480,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":96,\"kv_capacity\":255300,\
             \"kv_token_bytes\":131072,\"tokens_per_event\":2,\"models\":[{{\"name\":\"m\"}}]}}}},\
             {{\"name\":\"order-app\",\"health_path\":\"/health\",\"max_conns\":96,\
             \"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
             \"rate_per_s\":{rate_per_s},\"burst\":{burst}}}]}}"
        );
        self.store.write("op/config", &text);
    }

    /// Starts the entry VMs and waits until they are ready.
    pub fn start_fleet(&self, count: u8) -> io::Result<Fleet> {
        let fleet = Fleet::start(count, self.block, &self.folder, &self.record)?;
        let _ = self.fleet.set(fleet.clone());
        if !fleet.wait_ready(READY_TIME) {
            return Err(io::Error::other("the entry VMs do not become ready"));
        }
        self.record.line("all entry VMs are ready");
        Ok(fleet)
    }

    /// Ends the processes and removes the temporary folder.
    pub fn close(&self) {
        if let Some(fleet) = self.fleet.get() {
            fleet.stop();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            // What is left of it does no harm.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a route for a configuration.
pub fn route(name: &str, service: &str, kind: &str, timeout_ms: u32, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"slo_ms\":800,\"priority\":1,\"service\":\"{service}\",\
         \"retain\":false,\"public\":false{more}}}"
    )
}

/// What a route of turns has beside the others.
pub const TURN_FIELDS: &str = ",\"attempts\":1,\"retention_s\":60.0,\"sticky\":true,\
     \"can_resume\":true,\"gap_aim_ms\":200";
