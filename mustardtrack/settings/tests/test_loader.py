"""Guards against a daemon that starts with invalid or unknown settings."""

import pytest
import yaml

from mustardtrack.settings import SettingsError, load_settings

ROUTER = {
    "name": "router-1",
    "zone": "sofia-a",
    "bus": "127.0.0.1:1",
    "callers": "127.0.0.1:2",
    "operators": "127.0.0.1:3",
}
CONTROL = {
    "name": "control-1",
    "zone": "sofia-a",
    "bus": "127.0.0.1:4",
    "operators": "127.0.0.1:5",
}
VALID = {
    "role": "router",
    "name": "router-1",
    "deployment": "example",
    "control": [CONTROL],
    "routers": [ROUTER],
    "operator_token_hashes": ["00"],
}

INVALID_CHANGES = [
    ({"tming": {}}, "tming: unknown key"),
    ({"timing": {"lease": 3}}, "timing.lease: unknown key"),
    ({"timing": {"lease_ms": "3 s"}}, "timing.lease_ms"),
    ({"timing": {"lease_ms": -1}}, "timing.lease_ms"),
    ({"timing": {"heartbeat_ms": 900}}, "at most a third of election_timeout_ms"),
    ({"timing": {"router_heartbeat_ms": 2000}}, "at most a third of lease_ms"),
    ({"name": "router-9"}, "is not listed under the peers"),
    ({"role": "control", "name": "control-1"}, "data_folder is required"),
    ({"control": [CONTROL, CONTROL]}, "more than once"),
    ({"routers": [ROUTER | {"bus": "localhost"}]}, "write IP:PORT"),
    ({"routers": [ROUTER | {"bus": "host.example:80"}]}, "routers.0.bus"),
]


def write_settings(folder, data):
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(data))
    return path


def test_valid_settings_are_loaded(tmp_path):
    assert load_settings(write_settings(tmp_path, VALID)).own_router().zone == "sofia-a"


@pytest.mark.parametrize(("change", "message"), INVALID_CHANGES)
def test_invalid_setting_error_names_key_and_remedy(tmp_path, change, message):
    with pytest.raises(SettingsError) as caught:
        load_settings(write_settings(tmp_path, VALID | change))
    assert message in str(caught.value)


def test_missing_key_error_names_the_key(tmp_path):
    data = {key: value for key, value in VALID.items() if key != "deployment"}
    with pytest.raises(SettingsError, match="deployment: required key is missing"):
        load_settings(write_settings(tmp_path, data))


def test_file_without_top_level_mapping_is_rejected(tmp_path):
    with pytest.raises(SettingsError, match="top level must be a mapping"):
        load_settings(write_settings(tmp_path, ["role"]))
