//! Texts of configurations that a hub passes on in parts.

use rstest::rstest;
use vanillakeel::{
    mesh::{
        PartedText,
        TextAssembly,
        TextPart, //
    },
    order::Random,
};

const VERSION: u64 = 7;

fn bytes(length: usize, seed: u64) -> Vec<u8> {
    let mut random = Random::new(seed);
    (0..length).map(|_| random.below(256) as u8).collect()
}

/// Datagrams are lost, repeated and out of order.
///
/// Guards against a text that is never complete, or complete and another one.
#[rstest]
#[case::one_part(1)]
#[case::full_part(1_200)]
#[case::small(9_000)]
#[case::large(150_000)]
fn lossy(#[case] length: usize) {
    let text = PartedText::new(VERSION, bytes(length, 1));
    for seed in 0..20 {
        let mut random = Random::new(seed);
        let mut assembly = TextAssembly::new(VERSION);
        let mut queries = 0;
        while assembly.complete().is_none() {
            queries += 1;
            assert!(queries < 40, "seed {seed}");
            let missing = assembly.missing();
            let mut parts: Vec<_> = text.parts(&missing).collect();
            for at in 0..parts.len() {
                let other = random.below(parts.len() as u64) as usize;
                parts.swap(at, other);
            }
            for part in &parts {
                if random.below(3) > 0 {
                    assembly.add(part);
                    let is_repeat_new = assembly.add(part);
                    assert!(!is_repeat_new);
                }
            }
        }
        assert_eq!(assembly.complete(), Some(bytes(length, 1)));
    }
}

/// Guards against a text that is joined from parts of two.
#[test]
fn other_text() {
    let (old, new) = (bytes(5_000, 1), bytes(5_000, 2));
    let old = PartedText::new(VERSION, old);
    let new = PartedText::new(VERSION, new);
    let other_version = PartedText::new(VERSION + 1, bytes(5_000, 1));
    let mut assembly = TextAssembly::new(VERSION);
    assert!(old.parts(&[0]).all(|p| assembly.add(&p)));
    assert!(new.parts(&[]).all(|p| !assembly.add(&p)));
    assert!(other_version.parts(&[]).all(|p| !assembly.add(&p)));
    assert_eq!(assembly.complete(), None);
    assert_eq!(assembly.missing(), [1, 2, 3, 4]);
    for part in old.parts(&[1, 2, 3, 4]) {
        assembly.add(&part);
    }
    assert_eq!(assembly.complete(), Some(bytes(5_000, 1)));
}

/// Guards against a part that makes an instance hold much memory or fail, and against parts that are not what they say.
#[test]
fn bad_parts() {
    let part = TextPart {
        version: VERSION,
        digest: 3,
        parts: 2,
        part: 0,
        data: b"x",
    };
    let mut assembly = TextAssembly::new(VERSION);
    assert!(!assembly.add(&TextPart { parts: 0, ..part }));
    assert!(!assembly.add(&TextPart {
        parts: u32::MAX,
        ..part
    }));
    assert!(!assembly.add(&TextPart { part: 2, ..part }));
    assert!(assembly.add(&part));
    assert!(assembly.add(&TextPart { part: 1, ..part }));
    // The digest is another one.
    assert_eq!(assembly.complete(), None);
}
