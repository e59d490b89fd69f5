//! Plays every scenario of `scenarios/`.

use std::{
    fs,
    path::{Path, PathBuf},
};

use scenario::{Report, Script, World};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn scripts() -> Vec<PathBuf> {
    let folder = fs::read_dir(root().join("scenarios")).expect("the folder scenarios exists");
    let mut paths: Vec<PathBuf> = folder.map(|entry| entry.unwrap().path()).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "scn"));
    paths.sort();
    paths
}

fn play(path: &Path) -> Report {
    let text = fs::read_to_string(path).unwrap();
    let script = Script::parse(&text).unwrap_or_else(|err| panic!("{}:\n{err}", path.display()));
    let local = root().join(format!("scenarios/{}.toml", script.inventory));
    let shared = root().join(format!("inventories/{}.toml", script.inventory));
    let inventory = fs::read_to_string(&local).or_else(|_| fs::read_to_string(&shared));
    World::play(script, &inventory.expect("the inventory exists")).unwrap()
}

#[test]
fn every_scenario_holds() {
    let mut failed = Vec::new();
    for path in scripts() {
        let report = play(&path);
        if !report.holds() {
            failed.push(format!("{}\n{report}", path.display()));
        }
    }

    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
