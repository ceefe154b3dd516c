//! Base64 encoding for tests, independent of the implementation under test.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64, the form of results and statements on the wire.
pub fn base64(bytes: &[u8]) -> String {
    let encode_chunk = |chunk: &[u8]| {
        let bits = chunk.iter().fold(0u32, |sum, b| sum << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        let digit = |index: usize| {
            let is_in_input = index <= chunk.len();
            if is_in_input { char::from(DIGITS[(bits >> (18 - 6 * index)) as usize & 63]) } else { '=' }
        };
        (0..4).map(digit).collect::<String>()
    };
    bytes.chunks(3).map(encode_chunk).collect()
}
