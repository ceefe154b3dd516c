//! Configuration of the external processor.

use crate::error::{CommandError, read_bytes};
use crate::file::{FailureMode, ProcessorSection};
use lemonusher_external_call::{CallConfig, SigningKey};
use lemonusher_front::DeploymentNames;
use lemonusher_processor::{RequestClass, ServerConfig, TokenIssuer};
use std::time::Duration;

/// The external processor's configuration.
pub struct ProcessorConfig {
    /// Configuration of the gRPC server.
    pub server: ServerConfig,
    /// Configuration of the calls: timeouts, limits and idempotency by request class.
    pub calls: CallConfig,
    /// Whether, after a start of the front, engines count as just started (in slow start), because it is unknown which
    /// requests the proxies have in flight.
    pub recovers: bool,
    /// Interval between two decisions.
    pub tick: Duration,
}

/// Converts the section and reads the signing key. Continuation tokens are valid, and the outcomes of finished calls
/// are kept, for twice the longest deadline of any request class.
pub fn processor_config(
    section: &ProcessorSection,
    names: &DeploymentNames,
) -> Result<ProcessorConfig, CommandError> {
    let ms = |ms: u64| Duration::from_millis(ms);
    let max_deadline = names.class_configs.iter().map(|config| config.deadline).max().unwrap_or_default();
    let signing_key = match &section.key_file {
        Some(path) => SigningKey::new(read_bytes(path.get_ref())?.trim_ascii()),
        None => SigningKey::new(&rand::random::<[u8; 32]>()),
    };
    let classes = names.request_classes.iter().zip(&names.class_configs).map(|(name, config)| {
        let max_client_timeout = config.deadline * 2;
        RequestClass { name: name.clone(), max_client_timeout }
    });
    let server = ServerConfig {
        listen: *section.listen.get_ref(),
        header_names: section.header_names(),
        request_classes: classes.collect(),
        token_issuer: TokenIssuer { signing_key, processor: rand::random(), validity: max_deadline * 2 },
        max_streams: *section.max_streams.get_ref(),
        read_table_group: section.body_is_statement.then_some(lemonusher_front::table_group),
    };
    let calls = CallConfig {
        message_timeout: ms(*section.message_timeout_ms.get_ref()),
        failure_mode_allow: section.failure_mode == FailureMode::Open,
        max_timeout_extension: ms(section.max_timeout_extension_ms),
        retry_window: ms(section.retry_window_ms),
        unknown_outcome_retention: max_deadline * 2,
        idempotency: names.class_configs.iter().map(|config| config.idempotency).collect(),
        max_calls: *section.max_streams.get_ref(),
        max_finished_calls: section.max_remembered,
    };
    let tick = Duration::from_micros(*section.tick_us.get_ref());
    Ok(ProcessorConfig { server, calls, recovers: section.recovers, tick })
}
