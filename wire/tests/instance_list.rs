//! The platform's list of instances, to which others write as well.

use googletest::prelude::*;
use jacinthweir_wire::platform::InstanceList;

/// Guards against a list that nobody can read, since one entry has another type than the rest.
#[gtest]
fn an_entry_of_another_type_leaves_the_other_instances_listed() {
    let sound = r#"{"name": "r1", "incarnation": 1, "group": "g", "address": "127.0.0.1:1", "domain": "recife", "state": "live"}"#;
    let odd = [
        r#"{"name": "r2", "incarnation": 1, "group": "g", "address": {}, "domain": "recife", "state": "live"}"#,
        r#"{"name": "r3", "incarnation": 1, "group": ["g"], "address": "127.0.0.1:1", "domain": "recife", "state": "live"}"#,
        r#"{"name": "a05#", "state": "unheard of"}"#,
        "[1]",
        "null",
        "\"é\"",
    ];
    for odd in odd {
        let text = format!(r#"{{"instances": [{odd}, {sound}, {odd}]}}"#);
        let list: InstanceList = serde_json::from_str(&text).expect(odd);
        let names: Vec<&str> = list.instances.iter().map(|l| &*l.name).collect();
        expect_that!(names, elements_are![eq(&"r1")], "{odd}");
        expect_that!(list.rejected, eq(2), "{odd}");
    }
    let list = serde_json::from_str::<InstanceList>(r#"{"instances": 7}"#);
    expect_that!(list, err(anything()));
}
