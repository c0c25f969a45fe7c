"""Reading of the settings file."""

from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import yaml

from mustardtrack.settings.seeded import SeededSettings, read_seeded

if TYPE_CHECKING:
    from pydantic import ValidationError

    from mustardtrack.settings.models import Settings


class SettingsError(Exception):
    """The settings file cannot be used.

    The message holds one line per problem: key path, reason and remedy.
    """


def load_settings(path: str | Path) -> "Settings | SeededSettings":
    """Read and validate a settings file.

    A file with the key ``seeds`` describes a process that learns its peers.

    Args:
        path: YAML file.

    Returns:
        The validated settings.

    Raises:
        SettingsError: If the file is missing, not YAML, has unknown keys, or
            has values that are out of range or contradict each other.
    """
    try:
        data = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}, check --config") from error
    except yaml.YAMLError as error:
        raise SettingsError(f"{path}: not valid YAML: {error}") from error
    if not isinstance(data, dict):
        raise SettingsError(f"{path}: the top level must be a mapping of keys")
    if "seeds" in data:
        try:
            return read_seeded(data)
        except (msgspec.ValidationError, ValueError) as error:
            raise SettingsError(f"{path}: {error}") from error
    return _read_listed(path, data)


def _read_listed(path: str | Path, data: dict[str, Any]) -> "Settings":
    # Imported here, because processes with seeds do without pydantic.
    from pydantic import ValidationError

    from mustardtrack.settings.models import Settings

    try:
        return Settings.model_validate(data)
    except ValidationError as error:
        raise SettingsError(_describe(path, error)) from error


def _describe(path: str | Path, error: "ValidationError") -> str:
    lines = []
    for problem in error.errors():
        key = ".".join(str(part) for part in problem["loc"]) or "(file)"
        lines.append(f"{path}: {key}: {_explain(problem['type'], problem['msg'])}")
    return "\n".join(lines)


def _explain(kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "unknown key, remove it or correct its spelling"
    if kind == "missing":
        return "required key is missing, add it"
    return message.removeprefix("Value error, ")
