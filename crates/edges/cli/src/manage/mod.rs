//! The commands that manage a running front, over gNMI. Doc comments on commands and options are their help texts.

mod client;
mod values;

use crate::error::CommandError;
use clap::{Args, Subcommand, ValueEnum};
use client::Client;
use lemonusher_managed::gnmi::proto::gnmi::get_request::DataType;
use std::path::PathBuf;
use std::time::Duration;

/// Which front, and as whom.
#[derive(Args, Clone)]
pub struct ConnectionArgs {
    /// The front's gNMI address.
    #[arg(long, global = true, default_value = "127.0.0.1:9339")]
    address: String,
    #[arg(long, global = true)]
    user: Option<String>,
    /// A file that holds the password.
    #[arg(long, global = true)]
    password_file: Option<PathBuf>,
    /// The certificate that the front's must be signed by, as PEM; with it, the connection uses TLS.
    #[arg(long, global = true)]
    ca: Option<PathBuf>,
    /// The name in the front's certificate, where it is not its address.
    #[arg(long, global = true)]
    server_name: Option<String>,
}

/// What `set` may be asked for besides the value.
#[derive(Args, Clone, Default)]
pub struct SetArgs {
    /// Takes away what stands at PATH.
    #[arg(long)]
    pub delete: bool,
    /// Puts VALUE in place of all that stands at PATH.
    #[arg(long)]
    pub replace: bool,
    /// Goes back unless `lemonusher commit ID` follows within so many seconds.
    #[arg(long, value_name = "SECONDS")]
    pub confirm_in: Option<u64>,
    /// The id that such a change goes by.
    #[arg(long, default_value = "cli")]
    pub id: String,
    /// The version that must be in force.
    #[arg(long, value_name = "VERSION")]
    pub expect: Option<u64>,
}

#[derive(Subcommand)]
pub enum ManageCommand {
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
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Kind {
    All,
    Config,
    State,
}

impl Kind {
    fn data_type(self) -> DataType {
        match self {
            Kind::All => DataType::All,
            Kind::Config => DataType::Config,
            Kind::State => DataType::State,
        }
    }
}

/// Carries out a command at a running front.
pub fn manage(command: ManageCommand, connection: &ConnectionArgs, json: bool) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CommandError::Failed(error.to_string()))?;
    runtime.block_on(async {
        let mut client = Client::connect(connection, json).await?;
        match command {
            ManageCommand::Get { path, kind } => client.get(&path, kind.data_type()).await,
            ManageCommand::Set { path, value, args } => client.set(&path, value.as_deref(), &args).await,
            ManageCommand::Watch { path, every, count } => {
                client.watch(&path, every.map(Duration::from_millis), count).await
            }
            ManageCommand::Commit { id, cancel } => client.confirm(&id, cancel).await,
            ManageCommand::Rollback { version } => client.rollback(version).await,
            ManageCommand::History => client.history().await,
        }
    })
}
