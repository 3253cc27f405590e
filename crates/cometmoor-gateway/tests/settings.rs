//! Settings of a gateway node: mechanisms of the policy are on unless a
//! setting switches one off, and a misspelt switch is refused.

use cometmoor_gateway::settings::{GatewaySettings, MechanismSettings};

fn settings_with(mechanisms: &str) -> String {
    format!(
        r#"{{
        "node": "node-1", "zone": "zone-a",
        "clientAddress": "127.0.0.1:7000", "readyAddress": "127.0.0.1:7001",
        "directoryAddress": "127.0.0.1:7002", "peerAddress": "127.0.0.1:7003",
        "quotaAddress": "127.0.0.1:7004",
        "seeds": [], "storeAddress": "127.0.0.1:7100",
        "bounds": {{
            "graceSeconds": 8, "retryRatio": 0.2, "retryExtra": 54,
            "retryWindowSeconds": 10, "leaseMillis": 3000, "loadWindowSeconds": 5
        }}{mechanisms}
    }}"#
    )
}

#[test]
fn every_mechanism_is_on_where_the_settings_are_silent() {
    let settings = GatewaySettings::parse(&settings_with("")).unwrap();
    assert_eq!(settings.mechanisms, MechanismSettings::default());
    let all_on = MechanismSettings {
        prompt_affinity: true,
        early_refusal: true,
        wait_for_server: true,
        model_moves: true,
        pause_protection: true,
        run_migration: true,
    };
    assert_eq!(settings.mechanisms, all_on);
}

#[test]
fn one_mechanism_is_switched_off_alone() {
    let text = settings_with(r#", "mechanisms": { "earlyRefusal": false }"#);
    let settings = GatewaySettings::parse(&text).unwrap();
    assert!(!settings.mechanisms.early_refusal);
    assert!(settings.mechanisms.prompt_affinity);
    assert!(settings.mechanisms.wait_for_server);
    assert!(settings.mechanisms.model_moves);
}

#[test]
fn a_misspelt_mechanism_is_refused() {
    let text = settings_with(r#", "mechanisms": { "earlyRefusals": false }"#);
    assert!(GatewaySettings::parse(&text).is_err());
}
