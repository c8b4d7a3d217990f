//! A small deployment on loopback addresses: store, replicas and entry VMs.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::caller::{HOST, KEY, resolve};
use crate::record::CaseRecord;
use crate::replica::{RunLog, StandinReplica};
use crate::store::StandinStore;
use crate::vm::{VmProcess, VmRole};

/// Zones of the deployment.
const ZONES: [&str; 4] = [
    "be-central-a",
    "be-central-b",
    "be-central-c",
    "be-central-d",
];
/// Time between the beats of a replica.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Longest wait for the VMs to be ready.
const READY_TIME: Duration = Duration::from_secs(15);

/// Size of a deployment and what differs from the usual one.
#[derive(Clone, Copy, Default)]
pub struct DeploymentPlan {
    pub fronts: u8,
    pub stores: u8,
    /// Whether the system keeps the turns.
    pub retain: bool,
}

/// A running deployment; its processes end when it is dropped.
pub struct Deployment {
    pub fronts: Vec<VmProcess>,
    pub stores: Vec<VmProcess>,
    pub store: StandinStore,
    pub runs: RunLog,
    record: CaseRecord,
    folder: PathBuf,
}

fn seed() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanoseconds = elapsed.map_or(0, |elapsed| elapsed.subsec_nanos());
    u64::from(nanoseconds) ^ (u64::from(std::process::id()) << 20)
}

/// A small random number generator.
pub struct Random(u64);

impl Random {
    pub fn new() -> Self {
        Self(seed() | 1)
    }

    pub fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound as u64) as usize
    }
}

/// Finds a free network of loopback addresses.
fn free_network(random: &mut Random) -> io::Result<[u8; 2]> {
    for _ in 0..50 {
        let network = [20 + random.below(200) as u8, 1 + random.below(250) as u8];
        let is_free = |(host, port): (u8, u16)| {
            let ip = Ipv4Addr::new(127, network[0], network[1], host);
            TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok()
        };
        let probes = [(11, 8368), (11, 8360), (11, 7780), (11, 9464), (200, 8362)];
        if probes.into_iter().all(is_free) {
            return Ok(network);
        }
    }
    Err(io::Error::other("no free loopback network"))
}

impl Deployment {
    pub fn start(plan: &DeploymentPlan, record: &CaseRecord) -> io::Result<Self> {
        let mut random = Random::new();
        let network = free_network(&mut random)?;
        let ip = |host: u8| Ipv4Addr::new(127, network[0], network[1], host);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = StandinStore::new();
        let store_address = SocketAddr::from((ip(200), 8362));
        store.listen(store_address)?;
        store.write("op/config", &configuration(plan));
        let runs = RunLog::default();
        for (service, first_host, count, slots) in
            [("huvo11a", 100_u8, 4_u8, 96), ("wuno96b", 120, 4, 6)]
        {
            for number in 0..count {
                let id = format!("i-{service}{number}");
                let address = SocketAddr::from((ip(first_host + number), 8080));
                StandinReplica::start(&id, address, &runs, record)?;
                let zone = ZONES[usize::from(number) % ZONES.len()].to_owned();
                let store = store.clone();
                thread::spawn(move || {
                    let entry = ReplicaEntry {
                        id,
                        service,
                        address,
                        zone,
                        slots,
                    };
                    beat(&store, &entry);
                });
            }
        }
        let seeds: Vec<Ipv4Addr> = (0..plan.fronts.min(3))
            .map(|number| ip(11 + number))
            .collect();
        let build = |role: VmRole, number: u8| {
            let zone = ZONES[usize::from(number) % ZONES.len()];
            let round = usize::from(number) / ZONES.len() + 1;
            let (class, first_host) = match role {
                VmRole::Front => ("front", 11),
                VmRole::Store => ("store", 51),
            };
            let name = format!("{class}-{zone}-{round}");
            let parts = (name, ip(first_host + number), role, zone.to_owned());
            VmProcess::new(parts, &store_address.to_string(), &seeds, &folder)
        };
        let fronts = (0..plan.fronts).map(|number| build(VmRole::Front, number));
        let stores = (0..plan.stores).map(|number| build(VmRole::Store, number));
        let mut deployment = Self {
            fronts: fronts.collect(),
            stores: stores.collect(),
            store,
            runs,
            record: record.clone(),
            folder,
        };
        let processes = deployment.stores.iter_mut().chain(&mut deployment.fronts);
        for process in processes {
            process.start()?;
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    /// Waits until each directory names all entry VMs.
    fn wait_until_ready(&self) -> io::Result<()> {
        let started = Instant::now();
        while started.elapsed() < READY_TIME {
            let is_ready = self
                .fronts
                .iter()
                .all(|front| resolve(&[front.ip], "be-central-a").len() == self.fronts.len());
            let holders = self.store.count("ibisdale/vm-holder/");
            if is_ready && holders == self.stores.len() {
                self.record.line("all VMs are ready");
                // Traffic starts some seconds after the machines do.
                thread::sleep(Duration::from_secs(3));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err(io::Error::other("the VMs did not become ready"))
    }

    /// Returns the address for clients of an entry VM.
    pub fn front_address(&self, number: usize) -> SocketAddr {
        SocketAddr::from((self.fronts[number].ip, 8368))
    }

    pub fn front_ips(&self) -> Vec<Ipv4Addr> {
        self.fronts.iter().map(|front| front.ip).collect()
    }

    /// Ends all processes and removes the folder.
    pub fn close(mut self) {
        self.fronts.clear();
        self.stores.clear();
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs are in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// What a replica writes of itself.
struct ReplicaEntry {
    id: String,
    service: &'static str,
    address: SocketAddr,
    zone: String,
    slots: u32,
}

/// Writes a replica's entry at intervals, as the replica does.
fn beat(store: &StandinStore, replica: &ReplicaEntry) {
    let ReplicaEntry {
        id,
        service,
        address,
        zone,
        slots,
    } = replica;
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = elapsed.map_or(0, |elapsed| elapsed.as_millis());
    for seq in 1_u64.. {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\
             \"born\":{born},\"seq\":{seq}}}"
        );
        store.write(&format!("servers/{id}"), &entry);
        thread::sleep(BEAT_INTERVAL);
    }
}

/// The operator's configuration, with the fields and values of the pages' example.
fn configuration(plan: &DeploymentPlan) -> String {
    let retain = plan.retain;
    let can_resume = !retain;
    format!(
        "{{\"version\":7,\"routes\":[\
         {{\"name\":\"r-puxsr7i\",\"host\":\"{HOST}\",\"prefix\":\"/lohu930/\",\
         \"kind\":\"streaming\",\"timeout_ms\":6000,\"slo_ms\":200,\"priority\":1,\
         \"service\":\"huvo11a\",\"attempts\":1,\"retain\":{retain},\"retention_s\":60.0,\
         \"public\":false,\"sticky\":true,\"can_resume\":{can_resume},\"gap_aim_ms\":200}},\
         {{\"name\":\"r-pule252\",\"host\":\"{HOST}\",\"prefix\":\"/pule252/\",\
         \"kind\":\"idempotent\",\"timeout_ms\":6000,\"slo_ms\":250,\"priority\":2,\
         \"service\":\"wuno96b\",\"attempts\":2,\"public\":false}},\
         {{\"name\":\"r-puxa403\",\"host\":\"{HOST}\",\"prefix\":\"/puxa403/\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":6000,\"slo_ms\":800,\"priority\":2,\
         \"service\":\"wuno96b\",\"attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":490,\
         \"engine\":{{\"slots\":96,\"kv_capacity\":213596,\"tokens_per_event\":2}}}},\
         {{\"name\":\"wuno96b\",\"health_path\":\"/health\",\"max_conns\":100}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"rate_per_s\":277,\"burst\":277}}]}}"
    )
}
