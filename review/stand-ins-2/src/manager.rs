//! A NETCONF manager (RFC 6241, 6242): reads one operation a line from standard input and prints its reply on one line.

use lemonusher_netconf::{BASE, Framer, Framing, frame};
use russh::client;
use std::error::Error;
use std::sync::Arc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};

struct AnyKey;

impl client::Handler for AnyKey {
    type Error = russh::Error;

    async fn check_server_key(
        &mut self,
        _: &russh::keys::PublicKeyOrCertificate,
    ) -> Result<bool, Self::Error> {
        Ok(true)
    }
}

struct Session {
    stream: russh::ChannelStream<client::Msg>,
    framer: Framer,
    framing: Framing,
}

impl Session {
    async fn send(&mut self, text: &str) -> Result<(), Box<dyn Error>> {
        self.stream.write_all(&frame(self.framing, text)).await?;
        Ok(self.stream.flush().await?)
    }

    async fn receive(&mut self) -> Result<String, Box<dyn Error>> {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            if let Some(message) = self.framer.next_message().map_err(|error| error.to_string())? {
                return Ok(String::from_utf8(message)?);
            }
            match self.stream.read(&mut bytes).await? {
                0 => return Err("the session has ended".into()),
                count => self.framer.push(&bytes[..count]),
            }
        }
    }
}

pub async fn run(address: &str) -> Result<(), Box<dyn Error>> {
    let mut handle = client::connect(Arc::new(client::Config::default()), address, AnyKey).await?;
    if !handle.authenticate_none("ops").await?.success() {
        return Err("not let in".into());
    }
    let channel = handle.channel_open_session().await?;
    channel.request_subsystem(true, "netconf").await?;
    let framer = Framer::new(16 * 1024 * 1024);
    let mut session = Session { stream: channel.into_stream(), framer, framing: Framing::EndOfMessage };
    session
        .send(&format!(
            "<hello xmlns=\"{BASE}\"><capabilities><capability>urn:ietf:params:netconf:base:1.1</capability>\
             </capabilities></hello>"
        ))
        .await?;
    session.receive().await?;
    session.framing = Framing::Chunked;
    session.framer.set_framing(Framing::Chunked);
    println!("ready");
    let mut operations = BufReader::new(tokio::io::stdin()).lines();
    let mut number = 0;
    while let Some(operation) = operations.next_line().await? {
        number += 1;
        session
            .send(&format!("<rpc xmlns=\"{BASE}\" message-id=\"{number}\">{operation}</rpc>"))
            .await?;
        println!("{}", session.receive().await?.replace('\n', " "));
    }
    Ok(())
}
