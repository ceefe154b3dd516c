//! Integer types and their ranges.

use super::*;

#[test]
fn integers_have_one_canonical_form_within_their_ranges() {
    let (name, bounds) = ("uint16".to_owned(), integer_bounds("uint16").unwrap());
    let ranges = parse_ranges("1..10 | 20..max", bounds.clone()).unwrap();
    let ty = Type::Integer { name, ranges };
    assert_eq!(ty.canonical("007").as_deref(), Ok("7"));
    for bad in ["0", "11", "65536", "-1", "1e2", "", "99999999999999999999999999999999999999999"] {
        assert!(ty.canonical(bad).is_err(), "{bad}");
    }
    assert!(parse_ranges("5..1", bounds.clone()).is_err() && parse_ranges("1..5 | 2", bounds).is_err());
    assert!(integer_bounds("int7").is_none() && integer_bounds("string").is_none());
    assert_eq!(integer_bounds("int64"), Some(i64::MIN as i128..=i64::MAX as i128));
}
