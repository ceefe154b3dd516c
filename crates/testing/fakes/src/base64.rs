//! Base64 encoding for tests, independent of the implementation under test.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64, the form of results and statements on the wire.
pub fn base64(bytes: &[u8]) -> String {
    let chunk = |three: &[u8]| {
        let bits = three.iter().fold(0u32, |sum, b| sum << 8 | u32::from(*b)) << (8 * (3 - three.len()));
        let digit = |place: usize| {
            let known = place <= three.len();
            if known { char::from(DIGITS[(bits >> (18 - 6 * place)) as usize & 63]) } else { '=' }
        };
        (0..4).map(digit).collect::<String>()
    };
    bytes.chunks(3).map(chunk).collect()
}
