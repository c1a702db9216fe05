"""Loads settings from YAML files."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec
import yaml
from returns.result import Failure, Result, Success

from jayswitch.settings.exceptions import InvalidSettings
from jayswitch.settings.generated import NodeSettings

T = TypeVar("T")


def load_settings(path: str) -> Result[NodeSettings, InvalidSettings]:
    """Loads a node's settings from a file; returns them or the first error."""
    return read_settings(path, NodeSettings).bind(
        lambda settings: _check_ports(path, settings)
    )


def read_settings(path: str, model: type[T]) -> Result[T, InvalidSettings]:
    """Loads a file as the given model; returns it or the first error."""
    try:
        document = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        return Failure(InvalidSettings(path, f"cannot be read: {error.strerror}"))
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return Failure(InvalidSettings(path, f"is not YAML: {error}"))
    try:
        return Success(msgspec.convert(document, model))
    except msgspec.ValidationError as error:
        return Failure(InvalidSettings(path, str(error)))


def _check_ports(
    path: str, settings: NodeSettings
) -> Result[NodeSettings, InvalidSettings]:
    port_by_key = {
        "caller_port": settings.caller_port,
        "admin_port": settings.admin_port,
        "data_port": settings.data_port,
        "control_port": settings.control_port,
    }
    key_by_port: dict[int, str] = {}
    for key, port in port_by_key.items():
        if port in key_by_port:
            reason = f"{key} and {key_by_port[port]} are both {port}"
            return Failure(InvalidSettings(path, reason))
        key_by_port[port] = key
    return Success(settings)
