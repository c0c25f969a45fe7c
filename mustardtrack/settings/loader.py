"""Loading of the settings file."""

from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import yaml

from mustardtrack.settings.seeded import SeededSettings, validate_seeded_settings

if TYPE_CHECKING:
    from pydantic import ValidationError

    from mustardtrack.settings.models import Settings


class SettingsError(Exception):
    """The settings file is invalid.

    The message has one line per problem: key path, reason and remedy.
    """


def load_settings(path: str | Path) -> "Settings | SeededSettings":
    """Read and validate a settings file.

    A file with the key ``seeds`` configures a process that discovers its peers.

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
            return validate_seeded_settings(data)
        except (msgspec.ValidationError, ValueError) as error:
            raise SettingsError(f"{path}: {error}") from error
    return _validate_settings_with_peer_lists(path, data)


def _validate_settings_with_peer_lists(
    path: str | Path, data: dict[str, Any]
) -> "Settings":
    # Imported here to keep pydantic out of the start-up of seeded processes.
    from pydantic import ValidationError

    from mustardtrack.settings.models import Settings

    try:
        return Settings.model_validate(data)
    except ValidationError as error:
        raise SettingsError(_format_problems(path, error)) from error


def _format_problems(path: str | Path, error: "ValidationError") -> str:
    lines = []
    for problem in error.errors():
        key = ".".join(str(part) for part in problem["loc"]) or "(file)"
        lines.append(
            f"{path}: {key}: {_format_problem(problem['type'], problem['msg'])}"
        )
    return "\n".join(lines)


def _format_problem(kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "unknown key, remove it or correct its spelling"
    if kind == "missing":
        return "required key is missing, add it"
    return message.removeprefix("Value error, ")
