"""Settings of a direct router: a TOML file, validated when it is loaded."""

import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import msgspec

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.errors import UserError

from .coordination.descriptor_shares import DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS
from .coordination.memory_account import DEFAULT_MEMORY_MB, MIN_MEMORY_MB

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Endpoint = Annotated[str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Text = Annotated[str, msgspec.Meta(min_length=1)]

DEFAULT_WRITES_PER_S = 400.0


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the sections; unknown keys are errors."""


class ListenSettings(Section):
    """Listening addresses; routers exchange reports and snapshots on ``peer_port``."""

    clients: Endpoint
    readiness: Endpoint
    peer_port: Port
    metrics_port: Port


class StoreSettings(Section):
    """Address of the platform's store, and the writes that it takes from all routers."""

    address: Endpoint
    writes_per_s: Positive = DEFAULT_WRITES_PER_S


class StopSettings(Section):
    """``grace_s`` is the time between the stop signal and the forced kill."""

    grace_s: Positive = 8.0


class RetrySettings(Section):
    """Limits of the retry budget that all routers share.

    Retries may be ``ratio`` times the requests in a sliding window of ``window_s``
    seconds, plus ``slack``.
    """

    ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    slack: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    window_s: Positive = 10.0


class LoadSettings(Section):
    """``factor`` is the multiple of its pool's mean load that a server may carry."""

    factor: Annotated[float, msgspec.Meta(ge=1)] = 2.0


class EvacuationSettings(Section):
    """``bound_ms`` is the time within which an evacuated data centre gets no work."""

    bound_ms: Annotated[int, msgspec.Meta(ge=1_000)]


class ColdSettings(Section):
    """Bound of the requests that a cold server gets in one second from all routers.

    It is ``overage`` times the rate that the configuration states, plus ``slack``.
    """

    overage: Annotated[float, msgspec.Meta(ge=1)]
    slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Switch(StrEnum):
    """Whether a feature is on; ``AUTO`` leaves it to what a deployment calls for."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


class CapacitySettings(Section):
    """``learned`` switches the estimates of what each server takes well."""

    learned: Switch = Switch.AUTO


class AdmissionSettings(Section):
    """``enabled`` switches the admission by rank while a pool has too little capacity."""

    enabled: Switch = Switch.AUTO


class MemorySettings(Section):
    """``limit_mb`` is the resident memory beyond which the process is killed."""

    limit_mb: Annotated[int, msgspec.Meta(ge=MIN_MEMORY_MB)] = DEFAULT_MEMORY_MB


class DescriptorSettings(Section):
    """``limit`` is the number of descriptors that the process may have open."""

    limit: Annotated[int, msgspec.Meta(ge=MIN_DESCRIPTORS)] = DEFAULT_DESCRIPTORS


class DirectSettings(Section):
    """Settings of one router.

    ``first_start`` is set only when the whole system starts for the first time; the
    empty prompt cache index then counts as synced. ``link_mbps`` is the speed of the
    VM's link; routers with fast links read the store for the others. Without
    ``evacuation`` and ``cold``, data centres are not evacuated and cold servers have no
    limit.
    """

    node: Text
    role: Text
    ip: Text
    data_centre: Text
    first_start: bool
    listen: ListenSettings
    store: StoreSettings
    link_mbps: Positive = 1_000.0
    stop: StopSettings = StopSettings()
    retries: RetrySettings = RetrySettings()
    load: LoadSettings = LoadSettings()
    evacuation: EvacuationSettings | None = None
    cold: ColdSettings | None = None
    capacity: CapacitySettings = CapacitySettings()
    admission: AdmissionSettings = AdmissionSettings()
    memory: MemorySettings = MemorySettings()
    descriptors: DescriptorSettings = DescriptorSettings()

    @property
    def grace_ms(self) -> int:
        """Return the time between the stop signal and the forced kill."""
        return int(self.stop.grace_s * MS_PER_S)


def load_settings(path: Path) -> DirectSettings:
    """Load and validate a settings file; raise ``UserError`` if it is invalid."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), DirectSettings)
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f"{path} cannot be read", cause=str(error)) from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise UserError(
            f"{path} is not a valid settings file",
            cause=str(error),
            hint="docs/platform.md lists the keys",
        ) from error


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return the host and port of an endpoint."""
    host, _, port = endpoint.rpartition(":")
    return host, int(port)
