//! The side of a proxy that calls an external processor (Envoy's ext_proc v3) for one request: sends the request's
//! headers, prints the verdict, and keeps the stream until standard input ends or the stream is lost. Each line of
//! standard input is the status of the engine's response, which is told to the processor.

use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_client::ExternalProcessorClient;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response;
use envoy_types::pb::envoy::service::ext_proc::v3::{HttpHeaders, ProcessingRequest};
use std::error::Error;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;

fn message(headers: &[(&str, &str)], body: fn(HttpHeaders) -> Request) -> ProcessingRequest {
    let header = |(key, value): &(&str, &str)| HeaderValue {
        key: (*key).to_owned(),
        raw_value: value.as_bytes().to_vec(),
        ..Default::default()
    };
    let headers = Some(HeaderMap { headers: headers.iter().map(header).collect() });
    let headers = HttpHeaders { headers, end_of_stream: true, ..Default::default() };
    ProcessingRequest { request: Some(body(headers)), ..Default::default() }
}

pub async fn run(
    address: &str,
    batch: &str,
    service_group: &str,
    patience_ms: &str,
) -> Result<(), Box<dyn Error>> {
    let channel = Endpoint::from_shared(format!("http://{address}"))?.connect().await?;
    let (send, requests) = tokio::sync::mpsc::channel(8);
    let headers = [
        ("x-request-id", batch),
        ("x-service-group", service_group),
        ("x-envoy-expected-rq-timeout-ms", patience_ms),
        ("x-envoy-attempt-count", "1"),
    ];
    send.send(message(&headers, Request::RequestHeaders)).await?;
    let mut client = ExternalProcessorClient::new(channel);
    let mut responses = client.process(ReceiverStream::new(requests)).await?.into_inner();
    let first = responses.message().await?.ok_or("the stream ended without a verdict")?;
    match first.response {
        Some(Response::RequestHeaders(verdict)) => {
            let set = verdict.response.and_then(|common| common.header_mutation).unwrap_or_default().set_headers;
            let texts = set.into_iter().filter_map(|option| option.header).map(|header| {
                format!("{}={}", header.key, String::from_utf8_lossy(&header.raw_value))
            });
            println!("forward {}", texts.collect::<Vec<_>>().join(" "));
        }
        Some(Response::ImmediateResponse(answer)) => {
            println!("immediate {}", answer.status.unwrap_or_default().code);
            return Ok(());
        }
        other => return Err(format!("unexpected: {other:?}").into()),
    }
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    loop {
        tokio::select! {
            line = lines.next_line() => match line? {
                Some(status) => send.send(message(&[(":status", &status)], Request::ResponseHeaders)).await?,
                None => return Ok(()),
            },
            told = responses.message() => match told {
                Ok(Some(_)) => println!("told"),
                Ok(None) => { println!("stream ended"); return Ok(()); }
                Err(status) => { println!("stream lost: {}", status.code()); return Ok(()); }
            },
        }
    }
}
