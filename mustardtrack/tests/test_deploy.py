"""Guards against roles that import packages missing on the users' machines."""

import subprocess
import sys
from importlib.metadata import packages_distributions
from pathlib import Path

ROOT = Path(__file__).parents[2]
ROLES = ("mustardtrack.process.seeded_control", "mustardtrack.process.seeded_router")
# Importing a module whose entry in sys.modules is None fails, as if it were missing.
IMPORT_ROLE = """
import sys
absent = {absent!r}
sys.modules.update(dict.fromkeys(absent))
from mustardtrack.process.reactor import install_reactor
install_reactor()
import mustardtrack.process.daemon
import {role}
import prometheus_client.exposition
"""


def deployed_packages() -> set[str]:
    lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    return {normalize(line.partition("==")[0]) for line in lines if line}


def normalize(name: str) -> str:
    return name.lower().replace("_", "-").replace(".", "-")


def test_roles_import_with_only_the_deployed_packages():
    deployed = deployed_packages()
    absent = sorted(
        module
        for module, distributions in packages_distributions().items()
        if not {normalize(name) for name in distributions} & deployed
        and module != "mustardtrack"
    )
    assert "pydantic" in absent
    for role in ROLES:
        code = IMPORT_ROLE.format(absent=absent, role=role)
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
        )
        assert done.returncode == 0, done.stderr


def test_deployed_versions_match_the_lock_file():
    locked = set((ROOT / "requirements.lock").read_text().splitlines())
    deployed = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    assert set(deployed) <= locked
