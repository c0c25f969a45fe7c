"""Guards against a daemon that starts with settings it does not understand."""

import pytest
import yaml

from mustardtrack.settings import SettingsError, load_settings

PEER = {
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
    "routers": [PEER],
    "operator_token_hashes": ["00"],
}

FAULTS = [
    ({"tming": {}}, "tming: unknown key"),
    ({"timing": {"lease": 3}}, "timing.lease: unknown key"),
    ({"timing": {"lease_ms": "3 s"}}, "timing.lease_ms"),
    ({"timing": {"lease_ms": -1}}, "timing.lease_ms"),
    ({"timing": {"heartbeat_ms": 900}}, "at most a third of election_timeout_ms"),
    ({"timing": {"router_heartbeat_ms": 2000}}, "at most a third of lease_ms"),
    ({"name": "router-9"}, "is not listed under the peers"),
    ({"role": "control", "name": "control-1"}, "data_folder is required"),
    ({"control": [CONTROL, CONTROL]}, "more than once"),
    ({"routers": [PEER | {"bus": "localhost"}]}, "write IP:PORT"),
    ({"routers": [PEER | {"bus": "host.example:80"}]}, "routers.0.bus"),
]


def write(folder, data):
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(data))
    return path


def test_valid_settings_load(tmp_path):
    assert load_settings(write(tmp_path, VALID)).own_router().zone == "sofia-a"


@pytest.mark.parametrize(("change", "message"), FAULTS)
def test_wrong_settings_name_the_key_and_the_remedy(tmp_path, change, message):
    with pytest.raises(SettingsError) as caught:
        load_settings(write(tmp_path, VALID | change))
    assert message in str(caught.value)


def test_missing_key_is_named(tmp_path):
    data = {key: value for key, value in VALID.items() if key != "deployment"}
    with pytest.raises(SettingsError, match="deployment: required key is missing"):
        load_settings(write(tmp_path, data))


def test_file_that_is_not_a_mapping_is_refused(tmp_path):
    with pytest.raises(SettingsError, match="top level must be a mapping"):
        load_settings(write(tmp_path, ["role"]))
