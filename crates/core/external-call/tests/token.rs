//! Continuation tokens are valid only with the key that signed them, until they expire, and for their request.

use lemonusher_external_call::{ContinuationToken, SigningKey, TokenError};

#[test]
fn token_is_valid_only_with_its_key_in_time_and_for_its_request() {
    let key = SigningKey::new(b"a key that is long enough");
    let token = ContinuationToken {
        request: "b.1/ü".into(),
        engine: 7,
        attempt: 2,
        valid_until_ms: 1000,
        processor: Some(u64::MAX),
        number: 12,
    };
    let text = token.encode(&key);
    assert_eq!(ContinuationToken::decode(&text, &key, "b.1/ü", 1000), Ok(token));
    assert_eq!(ContinuationToken::decode(&text, &key, "b.1/ü", 1001), Err(TokenError::Expired));
    assert_eq!(ContinuationToken::decode(&text, &key, "b2", 0), Err(TokenError::OtherRequest));
    assert_eq!(
        ContinuationToken::decode(&text, &SigningKey::new(b"another"), "b.1/ü", 0),
        Err(TokenError::Forged)
    );
    for at in 0..text.len() {
        let mut spoilt = text.clone().into_bytes();
        spoilt[at] = if spoilt[at] == b'A' { b'B' } else { b'A' };
        let spoilt = String::from_utf8_lossy(&spoilt).into_owned();
        assert!(ContinuationToken::decode(&spoilt, &key, "b.1/ü", 0).is_err(), "{spoilt}");
    }
    for noise in ["", ".", "1....", "1.YQ.1.1.1", &"x".repeat(10_000)] {
        assert_eq!(ContinuationToken::decode(noise, &key, "a", 0), Err(TokenError::Forged));
    }
    assert_eq!(format!("{key:?}"), "Key(..)");
}

/// A token in the format of the releases that did not name the processor, signed with the key `key`.
const TOKEN_WITHOUT_PROCESSOR: &str = "1.YjE.7.2.3e8.vOE57LIL1Ds8B_mWQnlYOA";

#[test]
fn token_of_an_earlier_release_is_valid_and_names_no_processor() {
    let key = SigningKey::new(b"key");
    let expected = ContinuationToken {
        request: "b1".into(),
        engine: 7,
        attempt: 2,
        valid_until_ms: 1000,
        processor: None,
        number: 0,
    };
    assert_eq!(ContinuationToken::decode(TOKEN_WITHOUT_PROCESSOR, &key, "b1", 1000), Ok(expected.clone()));
    assert_eq!(expected.encode(&key), TOKEN_WITHOUT_PROCESSOR);
}
