"""Stand-in of the platform: object store, list of VMs and weight store."""

from dataclasses import dataclass
from enum import StrEnum
from urllib.parse import unquote

import anyio
import cappa
from pydantic import Field
from result import Err

from medlarridge._internal.clock import MS_PER_S, Clock, SystemClock
from medlarridge._internal.errors import StoreError, StoreErrorKind
from medlarridge._internal.state.memory import MemoryStore, StoreFault
from medlarridge._internal.state.store import MAX_VALUE_BYTES, StoredObject
from medlarridge._internal.transport.asgi import (
    ClientDisconnected,
    Endpoints,
    HttpError,
    HttpRequest,
    HttpResponse,
)

from .common import (
    Body,
    DelayedValue,
    RateLimit,
    abort,
    read_body,
    read_int,
    reply_empty,
    serve,
)

MAX_WATCH_MS = 60_000
STATUS_OF_ERROR = {
    StoreErrorKind.CONFLICT: 412,
    StoreErrorKind.TOO_LARGE: 413,
    StoreErrorKind.RATE_LIMITED: 429,
    StoreErrorKind.UNAVAILABLE: 503,
}


class FailureMode(StrEnum):
    """How a call fails: with status 503, a closed connection or no answer."""

    NONE = "none"
    REFUSE = "refuse"
    CLOSE = "close"
    SILENT = "silent"


class Faults(Body):
    """Faults in force; ``POST /faults`` changes the fields that it names.

    ``lose_before`` and ``lose_after`` are numbers of writes that are lost before
    or after they took effect; the connection is then closed, or stays silent.
    """

    outage: FailureMode = FailureMode.NONE
    slow_ms: int = Field(default=0, ge=0)
    lose_before: int = Field(default=0, ge=0)
    lose_after: int = Field(default=0, ge=0)
    lost_answers: FailureMode = FailureMode.CLOSE
    vm_lag_ms: int = Field(default=0, ge=0)


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(Body):
    """A VM as the platform lists it."""

    data_centre: str
    state: VmState = VmState.LIVE


@dataclass(frozen=True)
class VmList:
    """The list of VMs at one version."""

    version: int
    vms: dict[str, Vm]


@cappa.command(name="platform", default_long=True)
@dataclass
class PlatformSettings:
    """Serve the object store, the list of VMs and the weight store."""

    bind: str
    reads_per_s: float = 0
    writes_per_s: float = 0
    weights_per_s: float = 2
    weight_bytes: int = 65_536
    vm_lag_ms: int = 0

    async def run(self) -> None:
        """Serve until the process is told to end."""
        await serve(Platform(self, SystemClock()).endpoints, self.bind)


class Platform:
    """State and handlers of the platform stand-in."""

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        self.settings = settings
        self.store = MemoryStore()
        self.faults = Faults(vm_lag_ms=settings.vm_lag_ms)
        self.vms: DelayedValue[VmList] = DelayedValue(clock, VmList(0, {}))
        self.reads = RateLimit(clock, settings.reads_per_s)
        self.writes = RateLimit(clock, settings.writes_per_s)
        self.weights = RateLimit(clock, settings.weights_per_s)
        self.endpoints = Endpoints()
        register = self.endpoints.register
        register("GET", "/objects")(self.list_objects)
        register("GET", "/objects/{rest}")(self.get_object)
        register("PUT", "/objects/{rest}")(self.put_object)
        register("DELETE", "/objects/{rest}")(self.delete_object)
        register("GET", "/watch/{rest}")(self.watch_object)
        register("GET", "/vms")(self.list_vms)
        register("PUT", "/vms/{address}")(self.put_vm)
        register("DELETE", "/vms/{address}")(self.delete_vm)
        register("GET", "/weights/{name}")(self.get_weights)
        register("GET", "/calls")(self.get_calls)
        register("GET", "/faults")(self.get_faults)
        register("POST", "/faults")(self.set_faults)

    async def list_objects(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer with the keys and versions below a prefix."""
        await self.start_call(request, response, self.reads)
        listed = await self.store.list(request.query.get("prefix", ""))
        if isinstance(listed, Err):
            return await self.reply_error(request, response, listed.unwrap_err())
        return await response.reply_json(200, listed.unwrap())

    async def get_object(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer with an object."""
        await self.start_call(request, response, self.reads)
        found = await self.store.get(key_of(request))
        if isinstance(found, Err):
            return await self.reply_error(request, response, found.unwrap_err())
        stored = found.unwrap()
        if stored is None:
            raise HttpError(404, "the object does not exist")
        return await reply_object(response, stored)

    async def put_object(self, request: HttpRequest, response: HttpResponse) -> None:
        """Write an object if its version is as expected."""
        version = expected_version(request)
        value = await request.body(MAX_VALUE_BYTES)
        await self.start_call(request, response, self.writes)
        self.inject_lost_write()
        written = await self.store.put(key_of(request), value, version)
        if isinstance(written, Err):
            return await self.reply_error(request, response, written.unwrap_err())
        return await reply_empty(response, [("etag", f'"{written.unwrap()}"')])

    async def delete_object(self, request: HttpRequest, response: HttpResponse) -> None:
        """Delete an object if its version is as expected."""
        version = expected_version(request)
        await self.start_call(request, response, self.writes)
        self.inject_lost_write()
        deleted = await self.store.delete(key_of(request), version)
        if isinstance(deleted, Err):
            return await self.reply_error(request, response, deleted.unwrap_err())
        return await reply_empty(response)

    async def watch_object(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer when an object has a newer version, or with nothing."""
        after = read_int(request, "after", 0)
        timeout_ms = min(read_int(request, "timeout_ms", MAX_WATCH_MS), MAX_WATCH_MS)
        await self.start_call(request, response, self.reads)
        found = await self.store.watch(key_of(request), after, timeout_ms)
        if isinstance(found, Err):
            return await self.reply_error(request, response, found.unwrap_err())
        # An outage may have begun while the watch was waiting.
        await self.meet_outage(request, response)
        stored = found.unwrap()
        if stored is None:
            return await reply_empty(response)
        return await reply_object(response, stored)

    async def list_vms(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer with the lagging list if it is newer than the version given."""
        self.store.calls["vms"] += 1
        await self.start_call(request, response, self.reads)
        listed = self.vms.read(self.faults.vm_lag_ms)
        if listed.version <= read_int(request, "after", -1):
            return await reply_empty(response)
        vms = [
            {"address": address, **vm.model_dump()}
            for address, vm in sorted(listed.vms.items())
        ]
        return await response.reply_json(200, {"version": listed.version, "vms": vms})

    async def put_vm(self, request: HttpRequest, response: HttpResponse) -> None:
        """Add or change a VM; for tests and the demo."""
        vm = await read_body(request, Vm)
        self.change_vms({**self.vms.current().vms, request.parameters["address"]: vm})
        await reply_empty(response)

    async def delete_vm(self, request: HttpRequest, response: HttpResponse) -> None:
        """Remove a VM; for tests and the demo."""
        vms = dict(self.vms.current().vms)
        vms.pop(request.parameters["address"], None)
        self.change_vms(vms)
        await reply_empty(response)

    def change_vms(self, vms: dict[str, Vm]) -> None:
        """Record a new list of VMs, which readers see after the lag."""
        self.vms.set(VmList(self.vms.current().version + 1, vms))

    async def get_weights(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer with weights, whose content depends on the name alone."""
        self.store.calls["weights"] += 1
        await self.start_call(request, response, self.weights)
        name = request.parameters["name"].encode()
        size = self.settings.weight_bytes
        await response.reply(200, (name * (size // max(len(name), 1) + 1))[:size])

    async def get_calls(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer with the number of calls of each kind."""
        await response.reply_json(200, dict(self.store.calls))

    async def get_faults(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer with the faults in force."""
        await response.reply_json(200, self.faults.model_dump())

    async def set_faults(self, request: HttpRequest, response: HttpResponse) -> None:
        """Change the faults that the request names."""
        changes = await read_body(request, Faults)
        named = {name: getattr(changes, name) for name in changes.model_fields_set}
        self.faults = self.faults.model_copy(update=named)
        await self.get_faults(request, response)

    async def start_call(
        self, request: HttpRequest, response: HttpResponse, limit: RateLimit
    ) -> None:
        """Apply slowness, an outage and the rate limit to a call."""
        await anyio.sleep(self.faults.slow_ms / MS_PER_S)
        await self.meet_outage(request, response)
        if not limit.admit():
            self.store.calls["rate_limited"] += 1
            raise HttpError(429, "rate limit exceeded", **{"retry-after": "1"})

    async def meet_outage(self, request: HttpRequest, response: HttpResponse) -> None:
        """Fail the call if there is an outage."""
        if self.faults.outage is not FailureMode.NONE:
            self.store.calls["outage"] += 1
            await self.fail(request, response, self.faults.outage)

    async def fail(
        self, request: HttpRequest, response: HttpResponse, how: FailureMode
    ) -> None:
        """Fail a call in one of the ways."""
        if how is FailureMode.SILENT:
            await request.wait_disconnect()
            raise ClientDisconnected("client gave up", step="answer")
        if how is FailureMode.CLOSE:
            await abort(response)
        raise HttpError(503, "the platform is unavailable")

    def inject_lost_write(self) -> None:
        """Let the next call of the store meet a fault if one is due."""
        for name, fault in (
            ("lose_before", StoreFault.LOST_BEFORE),
            ("lose_after", StoreFault.LOST_AFTER),
        ):
            left = getattr(self.faults, name)
            if left:
                self.store.faults[self.store.calls.total() + 1] = fault
                self.faults = self.faults.model_copy(update={name: left - 1})
                return

    async def reply_error(
        self, request: HttpRequest, response: HttpResponse, error: StoreError
    ) -> None:
        """Answer a failed call, or break the connection if the answer is lost."""
        if error.kind is StoreErrorKind.AMBIGUOUS:
            await self.fail(request, response, self.faults.lost_answers)
        raise HttpError(STATUS_OF_ERROR[error.kind], error.kind)


def expected_version(request: HttpRequest) -> int:
    """Return the version that a write expects; 0 means that it creates."""
    if request.headers.get("if-none-match") == "*":
        return 0
    try:
        return int(request.headers["if-match"].strip('"'))
    except (KeyError, ValueError) as error:
        raise HttpError(400, "If-Match or If-None-Match is required") from error


async def reply_object(response: HttpResponse, stored: StoredObject) -> None:
    """Answer with an object and its version."""
    headers = [
        ("etag", f'"{stored.version}"'),
        ("content-type", "application/octet-stream"),
    ]
    await response.reply(200, stored.value, headers)


def key_of(request: HttpRequest) -> str:
    """Return the object key in the path of a request."""
    return unquote(request.parameters["rest"])
