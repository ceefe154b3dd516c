//! Management clients read and change 1,024 engines and more; an operator's file names 1,024 fronts and more.
//! Guards against fixed limits of 1,024.

#[allow(dead_code)] // Shared with the tests named proof_*, which use more of it.
mod managers;

use lemonusher_fakes::{CountingEngine, EngineBehavior, start_config, temp_file};
use lemonusher_managed::gnmi::proto::gnmi::get_request::DataType;
use managers::*;
use serde_json::json;
use std::process::Command;

#[test]
fn managers_see_and_name_every_engine() {
    for count in [1024, 1025, 2049] {
        let engine = CountingEngine::start(|_| EngineBehavior::Result);
        let managed = run(&vec![&engine; count], None, "");
        let ids: Vec<String> = (1..=count).map(|id| format!("{id:08x}")).collect();
        runtime().block_on(async {
            let mut gnmi = Gnmi::connect(managed.gnmi).await;
            let pool = json!({"name": "a", "engine": ids, "admin-state": "disabled"});
            gnmi.set(vec![update("/front/pool[name=a]", &pool)]).await.unwrap();
            let all = gnmi.get("/", DataType::All).await.unwrap();
            let engines = all["lemonusher-front:front"]["state"]["engine"].as_array().unwrap();
            let disabled = engines.iter().filter(|one| one["admin-state"] == "disabled").count();
            assert_eq!((engines.len(), disabled), (count, count));
            let filter = "<get><filter type=\"subtree\"><front xmlns=\"urn:lemonusher:front\"><state><engine/></state>\
                          </front></filter></get>";
            let mut netconf = Netconf::connect(managed.netconf).await;
            assert_eq!(netconf.bytes(filter).await.matches("<engine>").count(), count);
        });
    }
}

#[test]
fn an_operators_file_names_as_many_fronts_as_there_are() {
    for fronts in [1024, 1025, 4097] {
        let key = temp_file("key", "a key of sixteen bytes or more");
        let start_file = temp_file("json", &start_config(&[], "127.0.0.1:1".parse().unwrap()).to_string());
        let names: Vec<String> = (0..fronts).map(|front| format!("'n{front}'")).collect();
        let text = format!(
            "[front]\ntold = {start_file:?}\n[fleet]\nlisten = '127.0.0.1:1'\nkey_file = {key:?}\nseats = {fronts}\n\
             voters = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3']\nvotes = true\n\
             [fleet.sites]\n[fleet.works]\nfronts = [{}]\n",
            names.join(", ")
        );
        let path = temp_file("toml", &text);
        let check = ["check", path.to_str().unwrap()];
        let output = Command::new(env!("CARGO_BIN_EXE_lemonusher")).args(check).output().unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        assert!(output.status.success(), "{fronts}: {errors}");
    }
}
