//! `lemonusher`: the front as operators run and manage it.

mod client;
mod file;
mod fleet;
mod journal;
mod works;

use clap::{Parser, Subcommand, ValueEnum};
use client::{Client, ConnectionArgs, SetArgs};
use lemonusher_managed::gnmi::proto::gnmi::get_request::DataType;
use lemonusher_managed::{GnmiTerms, Names, NetconfTerms, Started, Terms, Tls, User, Users};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// A gateway that keeps short and long queries apart on shared engines.
///
/// Exit codes: 0 done; 1 it failed, and standard error says why; 2 the command line can't be used; 3 a file
/// can't be used.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    /// Prints results and errors as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(flatten)]
    connection: ConnectionArgs,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a front with what an operator's file switches on, until SIGTERM.
    Run {
        /// The operator's file, such as deploy/lemonusher.toml.
        file: PathBuf,
    },
    /// Checks an operator's file, and the file that it tells the front by.
    Check { file: PathBuf },
    /// Prints what stands at a path, such as /front/pool or /front/state/engine[id=0000002a].
    Get {
        path: String,
        /// Config, state, or both.
        #[arg(long, value_enum, default_value = "all")]
        kind: Kind,
    },
    /// Sets a leaf, or a whole entry given as JSON, in one commit.
    Set {
        path: String,
        value: Option<String>,
        #[command(flatten)]
        args: SetArgs,
    },
    /// Prints what stands at a path, and then what changes there, until it is ended.
    Watch {
        path: String,
        /// Samples at this period instead of telling changes.
        #[arg(long, value_name = "MILLISECONDS")]
        every: Option<u64>,
        /// Ends after so many updates.
        #[arg(long)]
        count: Option<usize>,
    },
    /// Confirms a change that was set with --confirm-in.
    Commit {
        #[arg(default_value = "cli")]
        id: String,
        /// Takes it back instead.
        #[arg(long)]
        cancel: bool,
    },
    /// Puts an earlier version in force again.
    Rollback { version: u64 },
    /// Lists the commits that can be gone back to, the latest first.
    History,
    /// Shows the voters of the fleet that a file names, and the leases that they have granted.
    Fleet { file: PathBuf },
    /// Prints the plan for lost sites as it stands, or as it would be without some: who is served where, what is refused
    /// first, and whether the rest can carry it.
    Plan {
        file: PathBuf,
        /// As if this site were lost; may be given several times.
        #[arg(long, value_name = "SITE")]
        without: Vec<String>,
    },
    /// Tells the fleet what is wanted of a site.
    Site {
        file: PathBuf,
        site: String,
        #[arg(value_enum)]
        #[arg(value_name = "WISH")]
        requested: fleet::ZoneOverride,
    },
    /// Asks for machines to be taken out for work, and says how far that has come.
    Works {
        file: PathBuf,
        #[command(subcommand)]
        command: works::Command,
    },
    /// Asks the holder of a task to hand it over, through the voters that a file names.
    HandOver { file: PathBuf, task: String },
}

#[derive(Clone, Copy, ValueEnum)]
enum Kind {
    All,
    Config,
    State,
}

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// A file can't be used; each is one line.
    File(Vec<String>),
    /// It was tried and failed, for this reason.
    Failed(String),
}

impl CommandError {
    fn exit_code(&self) -> u8 {
        match self {
            CommandError::Failed(_) => 1,
            CommandError::File(_) => 3,
        }
    }
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let done = match command_line.command {
        Command::Run { file } => run(&file),
        Command::Check { file } => check(&file, command_line.json),
        Command::Fleet { file } => fleet::show(&file, command_line.json),
        Command::HandOver { file, task } => fleet::hand_over(&file, &task, command_line.json),
        Command::Works { file, command } => works::run(&file, command, command_line.json),
        Command::Plan { file, without } => fleet::plan(&file, &without, command_line.json),
        Command::Site { file, site, requested } => {
            fleet::override_zone(&file, &site, requested, command_line.json)
        }
        command => manage(command, &command_line.connection, command_line.json),
    };
    let Err(error) = done else { return ExitCode::SUCCESS };
    let code = error.exit_code();
    let messages = match error {
        CommandError::File(lines) => lines,
        CommandError::Failed(message) => vec![message],
    };
    for message in messages {
        if command_line.json {
            eprintln!("{}", serde_json::json!({"error": message, "code": code}));
        } else {
            eprintln!("lemonusher: {message}");
        }
    }
    ExitCode::from(code)
}

fn read_file(path: &Path) -> Result<file::ConfigFile, CommandError> {
    let to_lines = |errors: Vec<file::ConfigError>| {
        CommandError::File(errors.iter().map(|error| error.to_string()).collect())
    };
    file::read(path).map_err(to_lines)
}

fn read_with_start_file(path: &Path) -> Result<(file::ConfigFile, String), CommandError> {
    let file = read_file(path)?;
    let start_file = match &file.front.start_file {
        Some(path) => path.get_ref().to_string_lossy().into_owned(),
        None => std::env::var("PROXY_CONFIG").map_err(|_| {
            CommandError::File(vec![format!(
                "{}: names no file in [front] 'told', and PROXY_CONFIG is not set",
                path.display()
            )])
        })?,
    };
    Ok((file, start_file))
}

fn check(path: &Path, json: bool) -> Result<(), CommandError> {
    let (file, start_file) = read_with_start_file(path)?;
    let names = lemonusher_front::read_names(&start_file)
        .map_err(|error| CommandError::File(vec![error.to_string()]))?;
    let fleet = file
        .fleet
        .as_ref()
        .map(|section| fleet::fleet_config(section, &names.front, names.zone))
        .transpose()?;
    if json {
        println!("{}", serde_json::json!({"file": path, "front": names.front, "ok": true}));
    } else {
        println!("{}: can be used; it runs front {}", path.display(), names.front);
        if let Some(fleet) = &fleet {
            let (voters, hold_time) = (fleet.voters.len(), fleet.leases.voter_hold_time());
            println!("{voters} fronts vote; after a crash of its holder a task is free within {hold_time:?}");
        }
        if let Some(managed) = &file.managed {
            println!("managers' counters are at most {:?} old", managed.max_counter_age());
            for user in &managed.users {
                println!("user {} may {}", user.name.get_ref(), user.access);
            }
        }
    }
    Ok(())
}

fn run(path: &Path) -> Result<(), CommandError> {
    let (file, start_file) = read_with_start_file(path)?;
    let names = lemonusher_front::read_names(&start_file)
        .map_err(|error| CommandError::File(vec![error.to_string()]))?;
    let managed = file.managed.as_ref().map(management_config).transpose()?;
    let processor = file.processor.as_ref().map(|section| processor_config(section, &names)).transpose()?;
    let log_level = journal::start(file.log.level, file.log.format);
    let failed = |what: String| CommandError::Failed(what);
    let mut _management_hub = None;
    let management = match managed {
        None => None,
        Some(terms) => {
            let front = names.front.clone();
            let known = Names {
                zones: names.zones.clone(),
                machine_kinds: names.machine_kinds.clone(),
                request_classes: names.request_classes.clone(),
            };
            let level = Arc::new(move |level: &str| log_level.set(level));
            let started = lemonusher_managed::start(terms, known, front, level, Vec::new())
                .map_err(|error| failed(error.to_string()))?;
            let Started { requests, wanted, notices, gnmi, netconf, hub } = started;
            _management_hub = Some(hub);
            if let Some(address) = gnmi {
                tracing::info!("gNMI at {address}");
            }
            if let Some(address) = netconf {
                tracing::info!("NETCONF at {address}");
            }
            Some(lemonusher_front::ManagementChannels {
                calls: requests,
                desired_state: wanted,
                notifications: notices,
            })
        }
    };
    let external_processing = match processor {
        None => None,
        Some(ProcessorConfig { server, calls, recovers, tick }) => {
            let listen = server.listen;
            let started = lemonusher_processor::start(server)
                .map_err(|error| failed(format!("can't listen on {listen}: {error}")))?;
            tracing::info!("external processor at {}", started.address);
            Some(lemonusher_front::ExternalProcessing {
                config: calls,
                events: started.events,
                recovers,
                tick,
            })
        }
    };
    let mut fleet = file
        .fleet
        .as_ref()
        .map(|section| fleet::fleet_config(section, &names.front, names.zone))
        .transpose()?;
    let failover = file
        .fleet
        .as_ref()
        .and_then(|section| section.zones.as_ref())
        .map(|section| section.get_ref().config());
    let mut zone_failover = None;
    if let Some((fleet, terms)) = fleet.as_mut().zip(failover) {
        let (observations, seen) = async_channel::bounded(1);
        let groups = lemonusher_routing::class_loads(&names.class_configs, terms.admission_floor);
        fleet.sites = Some(lemonusher_fleet::SitesTerms { terms, groups, seen });
        zone_failover = Some(lemonusher_front::ZoneFailover { config: terms, observations });
        let maintenance = file
            .fleet
            .as_ref()
            .and_then(|section| section.maintenance.as_ref())
            .map(|section| section.get_ref());
        fleet.works = maintenance.map(|section| lemonusher_fleet::WorksTerms {
            terms: section.config(terms.report_interval),
            tell: section.notify.as_ref().map(|to| *to.get_ref()),
        });
    }
    let fleet = match fleet {
        None => None,
        Some(terms) => {
            let listen = terms.listen;
            let started = lemonusher_fleet::start(terms)
                .map_err(|error| failed(format!("fleet: can't start at {listen}: {error}")))?;
            tracing::info!("fleet at {}", started.address);
            Some(started)
        }
    };
    let shares_quota = file.fleet.as_ref().is_some_and(|section| section.quota_slots > 0);
    let maintenance = file.fleet.as_ref().is_some_and(|section| section.maintenance.is_some());
    let fleet_channels = fleet.as_ref().map(|started| lemonusher_front::FleetChannels {
        control_updates: started.words.clone(),
        shares_quota,
        zone_failover,
        maintenance,
    });
    let ended = lemonusher_front::serve(start_file, management, external_processing, fleet_channels);
    drop(fleet); // Releases its leases.
    ended.map_err(|error| failed(error.to_string()))
}

/// The server, the calls' configuration, whether a start counts as a recovery, and the time between decisions.
struct ProcessorConfig {
    server: lemonusher_processor::ServerConfig,
    calls: lemonusher_external_call::CallConfig,
    recovers: bool,
    tick: Duration,
}

/// What the file says of proxies that ask the external processor.
fn processor_config(
    section: &file::ProcessorSection,
    names: &lemonusher_front::DeploymentNames,
) -> Result<ProcessorConfig, CommandError> {
    let ms = |ms: u64| Duration::from_millis(ms);
    let max_deadline = names.class_configs.iter().map(|terms| terms.deadline).max().unwrap_or_default();
    let signing_key = match &section.key_file {
        Some(path) => {
            let path = path.get_ref();
            let bytes = std::fs::read(path)
                .map_err(|error| CommandError::File(vec![format!("{}: {error}", path.display())]))?;
            lemonusher_external_call::SigningKey::new(bytes.trim_ascii())
        }
        None => lemonusher_external_call::SigningKey::new(&rand::random::<[u8; 32]>()),
    };
    let classes = names.request_classes.iter().zip(&names.class_configs).map(|(name, terms)| {
        let max_client_timeout = terms.deadline * 2;
        lemonusher_processor::RequestClass { name: name.clone(), max_client_timeout }
    });
    let server = lemonusher_processor::ServerConfig {
        listen: *section.listen.get_ref(),
        header_names: section.header_names(),
        request_classes: classes.collect(),
        signing_key,
        token_validity: max_deadline * 2,
        max_streams: *section.max_streams.get_ref(),
        read_table_group: section.body_is_statement.then_some(lemonusher_front::table_group),
    };
    let calls = lemonusher_external_call::CallConfig {
        message_timeout: ms(*section.message_timeout_ms.get_ref()),
        failure_mode_allow: section.failure_mode == file::FailureMode::Open,
        max_timeout_extension: ms(section.max_timeout_extension_ms),
        retry_window: ms(section.retry_window_ms),
        unknown_outcome_retention: max_deadline * 2,
        idempotency: names.class_configs.iter().map(|terms| terms.idempotency).collect(),
        max_calls: *section.max_streams.get_ref(),
        max_remembered: section.max_remembered,
    };
    let tick = Duration::from_micros(*section.tick_us.get_ref());
    Ok(ProcessorConfig { server, calls, recovers: section.recovers, tick })
}

/// What the file says of managers, with the files read that it names.
fn management_config(managed: &file::ManagementSection) -> Result<Terms, CommandError> {
    let read = |path: &PathBuf| {
        std::fs::read(path).map_err(|error| CommandError::File(vec![format!("{}: {error}", path.display())]))
    };
    let text = |path: &PathBuf| read(path).map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    let mut users = Vec::new();
    for user in &managed.users {
        let password = user.password_file.as_ref().map(|path| text(path.get_ref())).transpose()?;
        users.push(User {
            name: user.name.get_ref().clone(),
            may_write: user.access == file::Access::Write,
            ssh_key: user.ssh_key.as_ref().map(|key| key.get_ref().clone()),
            password: password.map(|password| password.trim_end().to_owned()),
        });
    }
    let gnmi = match &managed.gnmi {
        None => None,
        Some(gnmi) => {
            let tls = match (&gnmi.certificate, &gnmi.key) {
                (Some(certificate), Some(key)) => {
                    Some(Tls { certificate: read(certificate.get_ref())?, key: read(key.get_ref())? })
                }
                _ => None,
            };
            Some(GnmiTerms { listen: *gnmi.listen.get_ref(), tls })
        }
    };
    let netconf = match &managed.netconf {
        None => None,
        Some(netconf) => {
            let host_key = netconf.host_key.as_ref().map(|path| text(path.get_ref())).transpose()?;
            Some(NetconfTerms { listen: *netconf.listen.get_ref(), host_key })
        }
    };
    Ok(Terms {
        folder: managed.state_folder.as_ref().map(|folder| folder.get_ref().clone()),
        history: *managed.max_commits.get_ref(),
        sessions: *managed.max_sessions.get_ref(),
        subscriptions: *managed.max_subscriptions.get_ref(),
        freshness: managed.max_counter_age(),
        from_startup: managed.starts_from_startup,
        gnmi,
        netconf,
        users: Users(users),
    })
}

/// Speaks to a running front.
fn manage(command: Command, connection: &ConnectionArgs, json: bool) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CommandError::Failed(error.to_string()))?;
    runtime.block_on(async {
        let mut client = Client::connect(connection, json).await?;
        match command {
            Command::Run { .. }
            | Command::Check { .. }
            | Command::Fleet { .. }
            | Command::HandOver { .. } => Ok(()),
            Command::Plan { .. } | Command::Site { .. } | Command::Works { .. } => Ok(()),
            Command::Get { path, kind } => {
                let kind = match kind {
                    Kind::All => DataType::All,
                    Kind::Config => DataType::Config,
                    Kind::State => DataType::State,
                };
                client.get(&path, kind).await
            }
            Command::Set { path, value, args } => client.set(&path, value.as_deref(), &args).await,
            Command::Watch { path, every, count } => {
                client.watch(&path, every.map(Duration::from_millis), count).await
            }
            Command::Commit { id, cancel } => client.confirm(&id, cancel).await,
            Command::Rollback { version } => client.rollback(version).await,
            Command::History => client.history().await,
        }
    })
}
