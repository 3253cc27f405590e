//! Client keys: which header values are valid keys, and how a key is checked depending on the
//! freshness of the copy of the keys.

use cometmoor_core::keys::{KeyCheck, KeyDigest, KeyFreshness, KeyRing, PresentedKey};

fn presented(values: &[&[u8]]) -> PresentedKey {
    PresentedKey::from_values(values.iter().copied())
}

#[test]
fn a_key_is_a_single_value_of_printable_ascii_with_limited_length() {
    let key = PresentedKey::Key(KeyDigest::of(b"desk-1"));
    assert_eq!(presented(&[b"desk-1"]), key);
    assert_eq!(presented(&[b"  desk-1\t"]), key, "white space around a value is ignored");
    assert_eq!(presented(&[]), PresentedKey::Missing);
    let long = vec![b'x'; 257];
    let malformed: [&[&[u8]]; 8] = [
        &[b""],
        &[b"   "],
        &[b"desk-1", b"desk-1"],
        &[b"desk-1", b"other"],
        &[b"desk 1"],
        &[b"desk\xff1"],
        &["schl\u{fc}ssel".as_bytes()],
        &[&long],
    ];
    for values in malformed {
        assert_eq!(presented(values), PresentedKey::Malformed, "{values:?}");
    }
}

#[test]
fn digests_round_trip_through_hexadecimal_and_debug_output_hides_them() {
    let digest = KeyDigest::of(b"desk-1");
    assert_eq!(KeyDigest::from_hex(&digest.to_hex()), Some(digest));
    // SHA-256 of "abc": the full digest, then its first half.
    let full = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(KeyDigest::from_hex(full), Some(KeyDigest::of(b"abc")));
    assert_eq!(KeyDigest::of(b"abc").to_hex(), full[..32]);
    for text in [
        "",
        "ba78",
        &full[..31],
        "zz7816bf8f01cfea414140de5dae2223",
        "+a7816bf8f01cfea414140de5dae2223",
    ] {
        assert_eq!(KeyDigest::from_hex(text), None, "{text:?}");
    }
    assert_eq!(format!("{digest:?}"), "KeyDigest");
    assert!(!format!("{:?}", presented(&[b"desk-1"])).contains("desk"));
}

#[test]
fn a_copy_decides_only_what_its_freshness_allows() {
    let ring: KeyRing<&str> = [(KeyDigest::of(b"known"), "linen")].into_iter().collect();
    let (known, unknown) = (presented(&[b"known"]), presented(&[b"unknown"]));
    let freshness = |admits, denies| KeyFreshness { admits, denies };
    assert_eq!(ring.check(known, KeyFreshness::CURRENT), KeyCheck::Admitted(&"linen"));
    assert_eq!(ring.check(unknown, KeyFreshness::CURRENT), KeyCheck::Unknown);
    assert_eq!(ring.check(known, freshness(true, false)), KeyCheck::Admitted(&"linen"));
    assert_eq!(ring.check(unknown, freshness(true, false)), KeyCheck::Undecided);
    assert_eq!(ring.check(known, freshness(false, false)), KeyCheck::Undecided);
    assert_eq!(ring.check(unknown, freshness(false, false)), KeyCheck::Undecided);
    // A missing or malformed key is unknown, however old the copy is.
    assert_eq!(ring.check(PresentedKey::Missing, freshness(false, false)), KeyCheck::Unknown);
    assert_eq!(ring.check(PresentedKey::Malformed, freshness(false, false)), KeyCheck::Unknown);
}
