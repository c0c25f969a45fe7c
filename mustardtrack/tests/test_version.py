"""Guards against a package version that differs from the project file."""

import tomllib
from pathlib import Path

from mustardtrack import __version__


def test_version_matches_project_file():
    project = Path(__file__).parents[2] / "pyproject.toml"
    assert tomllib.loads(project.read_text())["project"]["version"] == __version__
