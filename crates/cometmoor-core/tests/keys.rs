//! Keys of callers: which forms are keys at all, and what is decided on each by how new
//! the copy of the keys is.

use cometmoor_core::keys::{KeyCheck, KeyDigest, KeyFreshness, KeyRing, PresentedKey};

fn presented(values: &[&[u8]]) -> PresentedKey {
    PresentedKey::from_values(values.iter().copied())
}

#[test]
fn only_one_key_of_plain_signs_and_bearable_length_is_a_key() {
    let key = PresentedKey::Key(KeyDigest::of(b"desk-1"));
    assert_eq!(presented(&[b"desk-1"]), key);
    assert_eq!(presented(&[b"  desk-1\t"]), key, "blanks round a value are not part of it");
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
fn digests_pass_through_hexadecimal_digits_and_show_nothing() {
    let digest = KeyDigest::of(b"desk-1");
    assert_eq!(KeyDigest::from_hex(&digest.to_hex()), Some(digest));
    // SHA-256 of "abc", whole, and the first half of it.
    let whole = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(KeyDigest::from_hex(whole), Some(KeyDigest::of(b"abc")));
    assert_eq!(KeyDigest::of(b"abc").to_hex(), whole[..32]);
    for text in [
        "",
        "ba78",
        &whole[..31],
        "zz7816bf8f01cfea414140de5dae2223",
        "+a7816bf8f01cfea414140de5dae2223",
    ] {
        assert_eq!(KeyDigest::from_hex(text), None, "{text:?}");
    }
    assert_eq!(format!("{digest:?}"), "KeyDigest");
    assert!(!format!("{:?}", presented(&[b"desk-1"])).contains("desk"));
}

#[test]
fn a_copy_decides_only_on_what_it_can_know() {
    let ring: KeyRing<&str> = [(KeyDigest::of(b"known"), "linen")].into_iter().collect();
    let (known, unknown) = (presented(&[b"known"]), presented(&[b"unknown"]));
    let of = |admits, denies| KeyFreshness { admits, denies };
    assert_eq!(ring.check(known, KeyFreshness::CURRENT), KeyCheck::Admitted(&"linen"));
    assert_eq!(ring.check(unknown, KeyFreshness::CURRENT), KeyCheck::Unknown);
    assert_eq!(ring.check(known, of(true, false)), KeyCheck::Admitted(&"linen"));
    assert_eq!(ring.check(unknown, of(true, false)), KeyCheck::Undecided);
    assert_eq!(ring.check(known, of(false, false)), KeyCheck::Undecided);
    assert_eq!(ring.check(unknown, of(false, false)), KeyCheck::Undecided);
    // What cannot be a key is nobody's, whatever the copy.
    assert_eq!(ring.check(PresentedKey::Missing, of(false, false)), KeyCheck::Unknown);
    assert_eq!(ring.check(PresentedKey::Malformed, of(false, false)), KeyCheck::Unknown);
}
