//! Runs one stand-in as a process of its own, until it is ended.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::wire::VmList;
use ibisdale_standins::{
    EngineOptions, EngineServer, KvServer, ServiceOptions, ServiceServer, VmListServer,
};

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn command() -> Command {
    let platform = Command::new("platform")
        .about("Runs the key-value service and the VM list")
        .arg(address_arg("key-value", "Address of the key-value service"))
        .arg(address_arg("vm-list", "Address of the VM list"))
        .arg(
            Arg::new("vms")
                .long("vms")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("JSON file with the VMs to list"),
        );
    let engine = Command::new("engine")
        .about("Runs a model engine")
        .arg(address_arg("address", "Address of the engine"))
        .arg(
            Arg::new("model")
                .long("model")
                .required(true)
                .help("Model that the engine serves"),
        );
    let service = Command::new("service")
        .about("Runs an order service")
        .arg(address_arg("address", "Address of the service"))
        .arg(
            Arg::new("credential-file")
                .long("credential-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File with the credential that callers must present"),
        );
    Command::new("ibisdale-standins")
        .about("Small stand-ins for what ibisdale meets, for trials on one machine")
        .subcommand_required(true)
        .subcommands([platform, engine, service])
}

fn get_address(matches: &ArgMatches, name: &str) -> Result<SocketAddr, Box<dyn Error>> {
    matches
        .get_one(name)
        .copied()
        .ok_or_else(|| format!("--{name} is missing").into())
}

async fn run(matches: &ArgMatches, executor: &TrafficExecutor) -> Result<(), Box<dyn Error>> {
    match matches.subcommand() {
        Some(("platform", matches)) => run_platform(matches, executor).await,
        Some(("engine", matches)) => {
            let model = matches
                .get_one::<String>("model")
                .cloned()
                .unwrap_or_default();
            let options = EngineOptions::new().model(model);
            let address = get_address(matches, "address")?;
            let engine = EngineServer::start(address, executor, options)?;
            println!("engine at {}", engine.get_address());
            std::future::pending().await
        }
        Some(("service", matches)) => {
            let address = get_address(matches, "address")?;
            let mut options = ServiceOptions::new();
            if let Some(path) = matches.get_one::<PathBuf>("credential-file") {
                options = options.credential(std::fs::read_to_string(path)?.trim());
            }
            let service = ServiceServer::start(address, executor, options)?;
            println!("order service at {}", service.get_address());
            std::future::pending().await
        }
        _ => Ok(()),
    }
}

async fn run_platform(
    matches: &ArgMatches,
    executor: &TrafficExecutor,
) -> Result<(), Box<dyn Error>> {
    let path = matches
        .get_one::<PathBuf>("vms")
        .ok_or("--vms is missing")?;
    let list: VmList = serde_json::from_slice(&std::fs::read(path)?)?;
    let kv = KvServer::start(get_address(matches, "key-value")?, executor)?;
    let vms = VmListServer::start(get_address(matches, "vm-list")?, executor)?;
    vms.set_vms(list.vms);
    println!("key-value service at {}", kv.get_address());
    println!("VM list at {}", vms.get_address());
    std::future::pending().await
}

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let executor = TrafficExecutor::default();
    smol::block_on(executor.run(run(&matches, &executor)))
}
