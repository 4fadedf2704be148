//! The committed code is what the generator makes of the protocol file.

use prost_build::Config;
use std::{
    fs,
    path::Path, //
};

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let set = protox::compile([root.join("proto/vanillakeel.proto")], [root.join("proto")])
        .expect("the protocol file compiles");
    let out = std::env::temp_dir().join(format!("vanillakeel-wire-{}", std::process::id()));
    fs::create_dir_all(&out).expect("a folder for the output");
    Config::new()
        .out_dir(&out)
        .compile_fds(set)
        .expect("the generator runs");
    let fresh = fs::read_to_string(out.join("vanillakeel.v1.rs")).expect("its output");
    let committed = root.join("src/generated.rs");
    if std::env::var_os("VANILLAKEEL_REGENERATE").is_some() {
        fs::write(&committed, &fresh).expect("the committed file is writable");
    }
    let kept = fs::read_to_string(&committed).expect("the committed file");
    fs::remove_dir_all(&out).expect("the folder goes");
    assert_eq!(kept, fresh, "run with VANILLAKEEL_REGENERATE=1 and commit");
}
