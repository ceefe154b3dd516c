//! Reading requests from headers.

use super::*;
use envoy_types::pb::envoy::config::core::v3::HeaderValue;
use lemonusher_external_call::{ProcessorId, SigningKey};

fn headers(list: &[(&str, &str)]) -> Headers {
    let header = |(key, value): &(&str, &str)| HeaderValue {
        key: key.to_string(),
        raw_value: value.as_bytes().to_vec(),
        ..HeaderValue::default()
    };
    Headers::read(Some(HeaderMap { headers: list.iter().map(header).collect() }))
        .unwrap_or(Headers(BTreeMap::new()))
}

fn issuer(processor: ProcessorId) -> TokenIssuer {
    TokenIssuer { signing_key: SigningKey::new(b"key"), processor, validity: Duration::from_secs(10) }
}

#[test]
fn request_is_read_by_its_headers_or_path() {
    let names = HeaderNames {
        path_classes: vec![PathClass { prefix: "/report".into(), request_class: "report".into() }],
        ..HeaderNames::default()
    };
    let class = |name: &str| RequestClass { name: name.into(), max_client_timeout: Duration::from_secs(10) };
    let classes = [class("look-up"), class("report")];
    let issuer = issuer(1);
    let read = |list: &[(&str, &str)]| names.read_request(3, &headers(list), &classes, &issuer, 0);
    let request = read(&[
        ("X-Request-Id", "r1"),
        ("x-service-group", "report"),
        ("x-envoy-expected-rq-timeout-ms", "99999"),
    ])
    .unwrap();
    assert_eq!((&*request.request, request.request_class, request.client_timeout.as_secs()), ("r1", 1, 10));
    assert_eq!(read(&[(":path", "/report/7")]).unwrap().request_class, 1);
    assert_eq!(read(&[(":path", "/other")]).unwrap_err(), RequestError::NoRequestClass);
    assert_eq!(read(&[("x-service-group", "none")]).unwrap_err(), RequestError::NoRequestClass);
    let long = "x".repeat(200);
    assert_eq!(
        read(&[("x-service-group", "report"), ("x-request-id", &long)]).unwrap_err(),
        RequestError::InvalidRequestId
    );
    // The content of a forged token is ignored; its presence shows an earlier attempt.
    let forged = read(&[("x-service-group", "report"), ("x-lemonusher-ticket", "1.x.1.1.1")]).unwrap();
    assert_eq!(forged.token, TokenEvidence::ForwardedElsewhere);
    let many: Vec<(&str, &str)> = vec![("a", "b"); 1000];
    let map = HeaderMap {
        headers: many.iter().map(|(k, _)| HeaderValue { key: k.to_string(), ..Default::default() }).collect(),
    };
    assert!(matches!(Headers::read(Some(map)), Err(RequestError::TooManyHeaders)));
}

/// Guards against a processor that takes another one's token, or one of its own earlier process, for its own.
#[test]
fn token_is_recognized_only_by_the_process_that_issued_it() {
    let token = ContinuationToken {
        request: "b".into(),
        engine: 7,
        attempt: 0,
        valid_until_ms: 1000,
        processor: Some(1),
        number: 12,
    };
    let text = token.encode(&issuer(1).signing_key);
    let read = |text: &str, processor| token_evidence(text, &issuer(processor), "b", 1000);
    assert_eq!(read(&text, 1), TokenEvidence::ForwardedHere(12));
    assert_eq!(read(&text, 2), TokenEvidence::ForwardedElsewhere);
    assert_eq!(token_evidence(&text, &issuer(1), "b", 1001), TokenEvidence::ForwardedElsewhere);
    let unnamed = ContinuationToken { processor: None, ..token }.encode(&issuer(1).signing_key);
    assert_eq!(read(&unnamed, 1), TokenEvidence::ForwardedElsewhere);
    assert_eq!(read("", 1), TokenEvidence::ForwardedElsewhere);
}
