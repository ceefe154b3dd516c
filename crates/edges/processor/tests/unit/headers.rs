//! Reading requests from headers.

use super::*;
use envoy_types::pb::envoy::config::core::v3::HeaderValue;

fn headers(list: &[(&str, &str)]) -> Headers {
    let header = |(key, value): &(&str, &str)| HeaderValue {
        key: key.to_string(),
        raw_value: value.as_bytes().to_vec(),
        ..HeaderValue::default()
    };
    Headers::read(Some(HeaderMap { headers: list.iter().map(header).collect() }))
        .unwrap_or(Headers(BTreeMap::new()))
}

#[test]
fn request_is_read_by_its_headers_or_path() {
    let names = HeaderNames {
        path_classes: vec![PathClass { prefix: "/report".into(), request_class: "report".into() }],
        ..HeaderNames::default()
    };
    let class = |name: &str| RequestClass { name: name.into(), max_client_timeout: Duration::from_secs(10) };
    let classes = [class("look-up"), class("report")];
    let key = SigningKey::new(b"key");
    let read = |list: &[(&str, &str)]| names.read_request(3, &headers(list), &classes, &key, 0);
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
    // The content of a forged token is ignored; its presence counts as an earlier attempt.
    let forged = read(&[("x-service-group", "report"), ("x-lemonusher-ticket", "1.x.1.1.1")]).unwrap();
    assert!(!forged.has_valid_token && forged.attempt == 2);
    let many: Vec<(&str, &str)> = vec![("a", "b"); 1000];
    let map = HeaderMap {
        headers: many.iter().map(|(k, _)| HeaderValue { key: k.to_string(), ..Default::default() }).collect(),
    };
    assert!(matches!(Headers::read(Some(map)), Err(RequestError::TooManyHeaders)));
}
