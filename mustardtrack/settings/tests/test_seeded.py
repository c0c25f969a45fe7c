"""Guards against seeded processes that start with invalid settings."""

import re
from pathlib import Path

import pytest
import yaml

from mustardtrack.settings import SeededSettings, SettingsError, load_settings

ROOT = Path(__file__).parents[3]
ROUTER = {
    "role": "router",
    "name": "edge-1",
    "zone": "a",
    "host": "10.0.0.1",
    "seeds": ["10.0.0.2:8783", "10.0.0.3:8783"],
    "internal_ports": [7340, 7355],
    "listen": {"callers": "10.0.0.1:8782"},
    "bounds": {"grace_s": 8},
}


def load_changed(folder, **changes):
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump({**ROUTER, **changes}))
    return load_settings(path)


def test_seeds_map_to_bus_addresses_of_replicas(tmp_path):
    settings = load_changed(tmp_path)
    assert isinstance(settings, SeededSettings)
    assert settings.seed_bus_addresses() == ["10.0.0.2:7340", "10.0.0.3:7340"]
    assert settings.bounds.grace_s == 8


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"unknown": 1}, "unknown"),
        ({"seeds": []}, "seeds"),
        ({"seeds": ["host:1"]}, "seeds"),
        ({"role": "control"}, "data_folder"),
        ({"listen": {}}, "listen.callers"),
        ({"bounds": {"grace_s": "8 s"}}, "grace_s"),
        ({"timing": {"heartbeat_ms": 400}}, "heartbeat_ms"),
    ],
)
def test_invalid_setting_error_names_the_key(tmp_path, changes, message):
    with pytest.raises(SettingsError, match=message):
        load_changed(tmp_path, **changes)


def test_template_contains_only_known_keys():
    """Guards against a template with keys that every process rejects."""
    text = (ROOT / "deploy" / "settings.yaml.tmpl").read_text()
    data = yaml.safe_load(re.sub(r"\{\{[^}]*\}\}", "null", text))
    assert set(data) <= set(SeededSettings.__struct_fields__)
    for key in ("listen", "retries", "bounds"):
        default = SeededSettings.__annotations__[key].__struct_fields__
        assert set(data[key]) <= set(default)
