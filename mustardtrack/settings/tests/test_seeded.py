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
    for key in ("listen", "retries", "bounds", "limits"):
        default = SeededSettings.__annotations__[key].__struct_fields__
        assert set(data[key]) <= set(default)


@pytest.mark.parametrize(
    ("section", "key", "value", "expected"),
    [
        ("retries", "floor", 56.5, 56),
        ("retries", "ratio", 1, 1.0),
        ("retries", "window_s", True, 1.0),
        ("bounds", "grace_s", 8.5, 8.5),
        ("bounds", "revoke_ms", 5000.0, 5000),
        ("bounds", "order_lease_ms", 0.5, 1),
        ("bounds", "weights_ms", 10_000.9, 10_000),
        ("bounds", "list_lag_ms", 800.1, 801),
        ("bounds", "list_lag_ms", False, 0),
        ("bounds", "allotment_window_s", 8, 8.0),
        ("bounds", "allotment_overshoot", True, 1.0),
        ("bounds", "allotment_slack", None, None),
        ("limits", "memory_mb", 200, 200.0),
        ("limits", "descriptors", 1638.5, 1638),
        ("limits", "cores", True, 1.0),
    ],
)
def test_integers_fractions_and_booleans_are_accepted(
    tmp_path, section, key, value, expected
):
    """Guards against processes that do not start because a number has another form."""
    settings = load_changed(tmp_path, **{section: {key: value}})
    assert getattr(getattr(settings, section), key) == expected


def test_numbers_outside_of_sections_are_accepted_in_every_form(tmp_path):
    settings = load_changed(
        tmp_path, internal_ports=[7340.0, 7355.0], tolerated_losses=2.0, bootstrap=False
    )
    assert (settings.internal_ports, settings.tolerated_losses) == ([7340, 7355], 2)


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.5, "5000"])
def test_number_that_is_none_is_refused_with_its_key(tmp_path, value):
    with pytest.raises(SettingsError, match="revoke_ms"):
        load_changed(tmp_path, bounds={"revoke_ms": value})
