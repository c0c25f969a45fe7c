"""Generator of the example deployments: settings files and operator commands.

``bin/generate-examples`` writes them to ``examples/``.
"""

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

import yaml

OPERATOR_TOKEN = "example-operator-token"
CONTROL_COUNT = 3
ROUTER_COUNT = 8

# Port offsets, added to the first port of a deployment.
CONTROL_BUS_OFFSET = 1
CONTROL_OPERATORS_OFFSET = 11
ROUTER_BUS_OFFSET = 21
ROUTER_CALLERS_OFFSET = 31
ROUTER_OPERATORS_OFFSET = 41
ENGINES_OFFSET = 51
SERVICES_OFFSET = 71
PLATFORM_OFFSET = 90

LARGE_ACCOUNT_LIMITS = {
    "weight": 4,
    "max_concurrent": 128,
    "tokens_per_second": 60000,
    "requests_per_second": 100,
}
SMALL_ACCOUNT_LIMITS = {
    "weight": 1,
    "max_concurrent": 32,
    "tokens_per_second": 15000,
    "requests_per_second": 25,
}


@dataclass(frozen=True)
class ExampleDeployment:
    """One example deployment on loopback addresses.

    Attributes:
        name: Name of the deployment and of its folder.
        first_port: Base of the port numbers.
        zones: Availability zones.
        model: Name of the model that all engines serve.
        service: Name of the plain service.
        engines: Number of engines.
        services: Number of service endpoints.
        parallel_weight_loads: Number of concurrent weight loads that do not slow
            each other down.
        checks_fencing: Whether endpoints reject stale fencing tokens.
        urgent_deadline_ms: Deadline of the class ``urgent``.
        patient_deadline_ms: Deadline of the class ``patient``.
        large_accounts: Client accounts with a high request volume.
        small_accounts: Client accounts with a low request volume.
    """

    name: str
    first_port: int
    zones: tuple[str, str, str]
    model: str
    service: str
    engines: int
    services: int
    parallel_weight_loads: int
    checks_fencing: bool
    urgent_deadline_ms: int
    patient_deadline_ms: int
    large_accounts: tuple[str, ...]
    small_accounts: tuple[str, ...]

    def address(self, offset: int, number: int = 1) -> str:
        """Return the address of process ``number``, counted from 1."""
        return f"127.0.0.1:{self.first_port + offset + number - 1}"

    def zone(self, number: int) -> str:
        """Return the availability zone of process ``number``, counted from 1."""
        return self.zones[(number - 1) % len(self.zones)]


STENAPRAV = ExampleDeployment(
    name="stenaprav",
    first_port=17100,
    zones=("sofia-a", "sofia-b", "sofia-c"),
    model="quote-writer",
    service="hire",
    engines=5,
    services=3,
    parallel_weight_loads=2,
    checks_fencing=True,
    urgent_deadline_ms=5000,
    patient_deadline_ms=120_000,
    large_accounts=("vitosha", "iskar"),
    small_accounts=("boyana", "lozen", "mladost", "nadezhda", "pancharevo", "simeon"),
)
ZWOLLE = ExampleDeployment(
    name="zwolle",
    first_port=18100,
    zones=("zwolle-a", "zwolle-b", "zwolle-c"),
    model="note-writer",
    service="counter",
    engines=9,
    services=3,
    parallel_weight_loads=3,
    checks_fencing=False,
    urgent_deadline_ms=3000,
    patient_deadline_ms=60_000,
    large_accounts=("ijssel", "vecht"),
    small_accounts=("assendorp", "berkum", "diezerpoort", "holtenbroek", "ittersum")
    + ("stadshagen",),
)
DEPLOYMENTS = (STENAPRAV, ZWOLLE)


def hash_secret(secret: str) -> str:
    """Return the hexadecimal BLAKE2b-256 digest of a key or token.

    Examples:
        >>> len(hash_secret("example-key-vitosha"))
        64
    """
    return blake2b(secret.encode(), digest_size=32).hexdigest()


def account_key(account: str) -> str:
    """Return the API key of an example client account."""
    return f"example-key-{account}"


def build_settings(
    deployment: ExampleDeployment, role: str, number: int
) -> dict[str, Any]:
    """Return the settings of one process.

    Args:
        deployment: The deployment.
        role: ``control`` or ``router``.
        number: Number of the process within its role, counted from 1.
    """
    settings: dict[str, Any] = {
        "role": role,
        "name": f"{role}-{number}",
        "deployment": deployment.name,
    }
    if role == "control":
        settings["data_folder"] = f"run/{deployment.name}/{role}-{number}"
    settings |= {
        "parallel_weight_loads": deployment.parallel_weight_loads,
        "platform_hosts_url": f"http://{deployment.address(PLATFORM_OFFSET)}/hosts",
        "operator_token_hashes": [hash_secret(OPERATOR_TOKEN)],
        "control": [
            _control_peer(deployment, peer_number)
            for peer_number in range(1, CONTROL_COUNT + 1)
        ],
        "routers": [
            _router_peer(deployment, peer_number)
            for peer_number in range(1, ROUTER_COUNT + 1)
        ],
    }
    return settings


def build_commands(deployment: ExampleDeployment) -> list[str]:
    """Return the operator commands that create the configuration objects."""
    return [
        f"create class urgent rank=0 floor_share=0.0 "
        f"deadline_ms={deployment.urgent_deadline_ms}",
        f"create class patient rank=1 floor_share=0.2 "
        f"deadline_ms={deployment.patient_deadline_ms}",
        f"create model {deployment.model} weights_version=v1",
        *_account_commands(deployment),
        *_endpoint_commands(deployment),
    ]


def render_files(deployment: ExampleDeployment) -> dict[str, str]:
    """Return the files of an example folder as a mapping of name to content."""
    files = {"objects.mt": "\n".join(build_commands(deployment)) + "\n"}
    for role, count in (("control", CONTROL_COUNT), ("router", ROUTER_COUNT)):
        for number in range(1, count + 1):
            settings = build_settings(deployment, role, number)
            text = yaml.safe_dump(settings, sort_keys=False)
            files[f"{role}-{number}.yaml"] = text
    return files


def write_examples(folder: Path) -> None:
    """Write the files of each deployment to a subfolder."""
    for deployment in DEPLOYMENTS:
        target = folder / deployment.name
        target.mkdir(parents=True, exist_ok=True)
        for name, text in render_files(deployment).items():
            (target / name).write_text(text, encoding="utf-8")


def _control_peer(deployment: ExampleDeployment, number: int) -> dict[str, str]:
    return {
        "name": f"control-{number}",
        "zone": deployment.zone(number),
        "bus": deployment.address(CONTROL_BUS_OFFSET, number),
        "operators": deployment.address(CONTROL_OPERATORS_OFFSET, number),
    }


def _router_peer(deployment: ExampleDeployment, number: int) -> dict[str, str]:
    return {
        "name": f"router-{number}",
        "zone": deployment.zone(number),
        "bus": deployment.address(ROUTER_BUS_OFFSET, number),
        "callers": deployment.address(ROUTER_CALLERS_OFFSET, number),
        "operators": deployment.address(ROUTER_OPERATORS_OFFSET, number),
    }


def _account_commands(deployment: ExampleDeployment) -> Iterator[str]:
    account_limits = [
        (name, LARGE_ACCOUNT_LIMITS) for name in deployment.large_accounts
    ]
    account_limits += [
        (name, SMALL_ACCOUNT_LIMITS) for name in deployment.small_accounts
    ]
    for name, limits in account_limits:
        fields = " ".join(f"{field}={value}" for field, value in limits.items())
        key_hash = hash_secret(account_key(name))
        yield f"create account {name} key_hashes={key_hash} {fields}"


def _endpoint_commands(deployment: ExampleDeployment) -> Iterator[str]:
    checks = str(deployment.checks_fencing).lower()
    endpoint_groups = (
        ("engine", "engine", ENGINES_OFFSET, deployment.engines, deployment.model),
        (
            "service",
            deployment.service,
            SERVICES_OFFSET,
            deployment.services,
            deployment.service,
        ),
    )
    for kind, prefix, offset, count, serves in endpoint_groups:
        for number in range(1, count + 1):
            yield (
                f"create endpoint {prefix}-{number} kind={kind} "
                f"address={deployment.address(offset, number)} "
                f"zone={deployment.zone(number)} serves={serves} "
                f"checks_fencing={checks}"
            )


if __name__ == "__main__":
    write_examples(Path(sys.argv[1]))
