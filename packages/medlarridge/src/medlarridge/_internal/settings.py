"""Settings files in TOML, validated when a process starts."""

import tomllib
from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    StringConstraints,
    ValidationError,
)

from .errors import UserError

SocketAddress = Annotated[
    str,
    StringConstraints(
        pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$"
    ),
]
Label = Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$", max_length=63)
]
Url = Annotated[str, StringConstraints(pattern=r"^https?://[^\s/]+(/.*)?$")]
MIN_KEY_LENGTH = 16


class Section(BaseModel):
    """Base of the settings models: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LogSettings(Section):
    """Level and format of the log."""

    level: str = Field(default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    json_lines: bool = False


class ProcessSettings(Section):
    """Settings that routers and sidecars share.

    ``link`` serves other processes (TCP and UDP; the exchange uses the next port),
    ``operator`` serves metrics, liveness, readiness and status.
    """

    link: SocketAddress
    operator: SocketAddress
    data_centre: Label
    region: Label
    platform: Url
    shared_key: SecretStr = Field(min_length=MIN_KEY_LENGTH)
    log: LogSettings = LogSettings()


class RouterSettings(ProcessSettings):
    """Settings of a router."""

    callers: SocketAddress
    max_body_bytes: int = Field(default=1024 * 1024, ge=1024, le=8 * 1024 * 1024)
    max_in_flight: int = Field(default=2_000, ge=1, le=100_000)
    weight_loads_per_min: int = Field(default=6, ge=1, le=10_000)


class SidecarSettings(ProcessSettings):
    """Settings of a sidecar and the backend server beside it.

    ``max_running`` is the number of requests that the engine batches at once;
    ``max_in_flight`` also includes those that wait.
    """

    pool: Label
    server: Url
    weight: float = Field(default=1.0, gt=0, le=1000)
    max_running: int = Field(default=64, ge=1, le=10_000)
    max_in_flight: int = Field(default=256, ge=1, le=10_000)


Settings = TypeVar("Settings", bound=Section)


def load_settings(path: Path, model: type[Settings]) -> Settings:
    """Read and validate a settings file."""
    try:
        with path.open("rb") as file:
            values = tomllib.load(file)
    except OSError as error:
        raise UserError(
            f"cannot read settings file {path}",
            cause=error.strerror or str(error),
            hint="pass the path of a readable TOML file",
            step="read settings",
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise UserError(
            f"settings file {path} is not valid TOML",
            cause=str(error),
            step="read settings",
        ) from error
    try:
        return model.model_validate(values)
    except ValidationError as error:
        raise UserError(
            f"settings file {path} is invalid",
            cause=describe_errors(error),
            hint="docs/settings.md lists keys, types and units",
            step="read settings",
        ) from error


def describe_errors(error: ValidationError) -> str:
    """Return the location and message of each error, joined by semicolons."""
    return "; ".join(
        f"{'.'.join(str(part) for part in item['loc']) or 'file'}: {item['msg']}"
        for item in error.errors(include_input=False, include_url=False)
    )
