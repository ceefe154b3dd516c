//! The commands that manage a running front over gNMI. Doc comments on commands and options are their help texts.

mod client;
mod values;

use crate::error::CommandError;
use clap::{Args, Subcommand, ValueEnum};
use client::Client;
use lemonusher_managed::gnmi::proto::gnmi::get_request::DataType;
use std::path::PathBuf;
use std::time::Duration;

/// The front's address, and the user's credentials.
#[derive(Args, Clone)]
pub struct ConnectionArgs {
    /// The front's gNMI address.
    #[arg(long, global = true, default_value = "127.0.0.1:9339")]
    address: String,
    #[arg(long, global = true)]
    user: Option<String>,
    /// File that contains the password.
    #[arg(long, global = true)]
    password_file: Option<PathBuf>,
    /// File with the CA certificate, in PEM format, that signs the front's certificate; if given, the
    /// connection uses TLS.
    #[arg(long, global = true)]
    ca: Option<PathBuf>,
    /// Name in the front's certificate, if it differs from the address.
    #[arg(long, global = true)]
    server_name: Option<String>,
}

/// Options of `set`.
#[derive(Args, Clone, Default)]
pub struct SetArgs {
    /// Deletes the node at PATH.
    #[arg(long)]
    pub delete: bool,
    /// Replaces the whole node at PATH with VALUE, instead of merging VALUE into it.
    #[arg(long)]
    pub replace: bool,
    /// Rolls the change back unless `lemonusher commit ID` follows within this time.
    #[arg(long, value_name = "SECONDS")]
    pub confirm_in: Option<u64>,
    /// Id of a change that must be confirmed.
    #[arg(long, default_value = "cli")]
    pub id: String,
    /// Version that must be in force; otherwise nothing is changed.
    #[arg(long, value_name = "VERSION")]
    pub expect: Option<u64>,
}

#[derive(Subcommand)]
pub enum ManageCommand {
    /// Prints the values at a path, such as /front/pool or /front/state/engine[id=0000002a].
    Get {
        path: String,
        /// Config, state, or both.
        #[arg(long, value_enum, default_value = "all")]
        kind: Kind,
    },
    /// Sets a leaf, or an entry given as JSON, in one commit.
    Set {
        path: String,
        value: Option<String>,
        #[command(flatten)]
        args: SetArgs,
    },
    /// Prints the values at a path, and then each change of them, until it is interrupted.
    Watch {
        path: String,
        /// Prints samples at this interval instead of changes.
        #[arg(long, value_name = "MILLISECONDS")]
        every: Option<u64>,
        /// Ends after this many updates.
        #[arg(long)]
        count: Option<usize>,
    },
    /// Confirms a change that was set with --confirm-in.
    Commit {
        #[arg(default_value = "cli")]
        id: String,
        /// Rolls the change back instead.
        #[arg(long)]
        cancel: bool,
    },
    /// Puts an earlier version in force again.
    Rollback { version: u64 },
    /// Lists the commits that can be rolled back to, the latest first.
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

/// Executes a management command on a running front.
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
