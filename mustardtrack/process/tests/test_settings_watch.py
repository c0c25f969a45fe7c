"""Guards against processes that keep using seeds that no longer exist."""

import asyncio

import yaml

from mustardtrack.process.settings_watch import SettingsWatch

ROUTER = {
    "role": "router",
    "name": "edge-1",
    "zone": "a",
    "host": "10.0.0.1",
    "seeds": ["10.0.0.2:8783"],
    "internal_ports": [7340],
    "listen": {"callers": "10.0.0.1:8782"},
}


def write(path, **changes):
    path.write_text(yaml.safe_dump({**ROUTER, **changes}))


def test_changed_seeds_are_applied_and_invalid_settings_are_not(tmp_path):
    path = tmp_path / "settings.yaml"
    write(path)
    applied = []
    watch = SettingsWatch(str(path), applied.append)
    write(path, seeds=["10.0.0.9:8783"])
    watch.reload()
    write(path, seeds=[])
    watch.reload()
    path.unlink()
    watch.reload()
    assert [settings.seeds for settings in applied] == [["10.0.0.9:8783"]]


def test_file_change_is_applied_without_a_signal(tmp_path, monkeypatch):
    monkeypatch.setattr("mustardtrack.process.settings_watch.POLL_PERIOD_S", 0.01)
    path = tmp_path / "settings.yaml"
    write(path)
    applied = []
    watch = SettingsWatch(str(path), applied.append)

    async def scenario():
        task = asyncio.ensure_future(watch.run())
        await asyncio.sleep(0.05)
        write(path, seeds=["10.0.0.9:8783", "10.0.0.8:8783"])
        await asyncio.sleep(0.2)
        task.cancel()

    asyncio.run(scenario())
    assert len(applied) == 1
