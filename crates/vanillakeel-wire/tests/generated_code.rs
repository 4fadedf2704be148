//! Guards against generated code that does not match the protocol file, for instance because the
//! file was edited and the code was not regenerated.

use prost_build::Config;
use std::{
    fs,
    path::Path, //
};

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors = protox::compile([root.join("proto/vanillakeel.proto")], [root.join("proto")])
        .expect("the protocol file compiles");
    let out = std::env::temp_dir().join(format!("vanillakeel-wire-{}", std::process::id()));
    fs::create_dir_all(&out).expect("the output folder can be created");
    Config::new()
        .out_dir(&out)
        .compile_fds(descriptors)
        .expect("the generator runs");
    let generated =
        fs::read_to_string(out.join("vanillakeel.v1.rs")).expect("the output file is readable");
    let committed_path = root.join("src/generated.rs");
    if std::env::var_os("VANILLAKEEL_REGENERATE").is_some() {
        fs::write(&committed_path, &generated).expect("the committed file is writable");
    }
    let committed = fs::read_to_string(&committed_path).expect("the committed file is readable");
    fs::remove_dir_all(&out).expect("the output folder can be removed");
    assert_eq!(
        committed, generated,
        "the code is outdated: run with VANILLAKEEL_REGENERATE=1 and commit it"
    );
}
