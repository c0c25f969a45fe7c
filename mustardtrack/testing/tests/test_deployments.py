"""Guards against example files that fail to load or are out of date."""

from pathlib import Path

import pytest

from mustardtrack.configuration import Accepted, Configuration
from mustardtrack.language import parse
from mustardtrack.settings import load_settings
from mustardtrack.testing.deployments import DEPLOYMENTS, render_files

EXAMPLES = Path(__file__).parents[3] / "examples"
each_deployment = pytest.mark.parametrize(
    "deployment", DEPLOYMENTS, ids=lambda deployment: deployment.name
)


@each_deployment
def test_committed_files_match_the_generator(deployment):
    folder = EXAMPLES / deployment.name
    committed = {path.name: path.read_text() for path in folder.iterdir()}
    assert committed == render_files(deployment), "run bin/generate-examples"


@each_deployment
def test_settings_load_and_addresses_are_unique(deployment):
    folder = EXAMPLES / deployment.name
    loaded = [load_settings(path) for path in sorted(folder.glob("*.yaml"))]
    assert [settings.role for settings in loaded] == ["control"] * 3 + ["router"] * 8
    peers = [*loaded[0].control, *loaded[0].routers]
    addresses = [
        value
        for peer in peers
        for value in peer.model_dump().values()
        if str(value).startswith("127.0.0.1:")
    ]
    addresses += [
        word.removeprefix("address=")
        for word in (folder / "objects.mt").read_text().split()
        if word.startswith("address=")
    ]
    expected = 3 * 2 + 8 * 3 + deployment.engines + deployment.services
    assert len(set(addresses)) == len(addresses) == expected


@each_deployment
def test_number_of_objects_matches_the_deployment(deployment):
    lines = (EXAMPLES / deployment.name / "objects.mt").read_text().splitlines()
    kinds = [line.split()[1] for line in lines]
    endpoints = deployment.engines + deployment.services
    assert (
        kinds == ["class"] * 2 + ["model"] + ["account"] * 8 + ["endpoint"] * endpoints
    )


@each_deployment
def test_every_command_is_accepted(deployment):
    configuration = Configuration()
    lines = (EXAMPLES / deployment.name / "objects.mt").read_text().splitlines()
    for index, line in enumerate(lines, start=1):
        command = parse(line, f"c{index}", "ana")
        assert isinstance(configuration.apply(index, command, 0), Accepted), line
    endpoints = configuration.objects("endpoint").values()
    checks = {endpoint.checks_fencing for endpoint in endpoints}
    assert checks == {deployment.checks_fencing}
    assert {endpoint.zone for endpoint in endpoints} == set(deployment.zones)
