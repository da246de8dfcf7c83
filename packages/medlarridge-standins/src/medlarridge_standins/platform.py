"""Simulated platform: object store, VM list and weight store."""

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
    DelayedValue,
    RateLimit,
    StrictModel,
    abort_connection,
    read_body,
    read_int,
    reply_no_content,
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
    """How a call fails: with status 503, a closed connection or no response."""

    NONE = "none"
    REFUSE = "refuse"
    CLOSE = "close"
    SILENT = "silent"


class Faults(StrictModel):
    """Active faults; ``POST /faults`` updates the fields that it contains.

    ``lose_before`` and ``lose_after`` count the coming writes that fail before or
    after they take effect; ``lost_answers`` selects how these calls fail.
    """

    outage: FailureMode = FailureMode.NONE
    slow_ms: int = Field(default=0, ge=0)
    lose_before: int = Field(default=0, ge=0)
    lose_after: int = Field(default=0, ge=0)
    lost_answers: FailureMode = FailureMode.CLOSE
    vm_lag_ms: int = Field(default=0, ge=0)


class VmState(StrEnum):
    """State of a VM in the VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(StrictModel):
    """An entry of the VM list."""

    data_centre: str
    state: VmState = VmState.LIVE


@dataclass(frozen=True)
class VmList:
    """One version of the VM list."""

    version: int
    vms: dict[str, Vm]


@cappa.command(name="platform", default_long=True)
@dataclass
class PlatformSettings:
    """Serve the object store, the VM list and the weight store."""

    bind: str
    reads_per_s: float = 0
    writes_per_s: float = 0
    weights_per_s: float = 2
    weight_bytes: int = 65_536
    vm_lag_ms: int = 0

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        await serve(Platform(self, SystemClock()).endpoints, self.bind)


class Platform:
    """State and HTTP handlers of the simulated platform."""

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        self.settings = settings
        self.store = MemoryStore()
        self.faults = Faults(vm_lag_ms=settings.vm_lag_ms)
        self.vms: DelayedValue[VmList] = DelayedValue(clock, VmList(0, {}))
        self.read_limit = RateLimit(clock, settings.reads_per_s)
        self.write_limit = RateLimit(clock, settings.writes_per_s)
        self.weight_limit = RateLimit(clock, settings.weights_per_s)
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
        """Return the keys and versions of the objects with a prefix."""
        await self.start_call(request, response, self.read_limit)
        listed = await self.store.list(request.query.get("prefix", ""))
        if isinstance(listed, Err):
            return await self.reply_error(request, response, listed.unwrap_err())
        return await response.reply_json(200, listed.unwrap())

    async def get_object(self, request: HttpRequest, response: HttpResponse) -> None:
        """Return an object."""
        await self.start_call(request, response, self.read_limit)
        found = await self.store.get(key_of(request))
        if isinstance(found, Err):
            return await self.reply_error(request, response, found.unwrap_err())
        stored = found.unwrap()
        if stored is None:
            raise HttpError(404, "the object does not exist")
        return await reply_object(response, stored)

    async def put_object(self, request: HttpRequest, response: HttpResponse) -> None:
        """Write an object if its version matches the expected one."""
        version = expected_version(request)
        value = await request.body(MAX_VALUE_BYTES)
        await self.start_call(request, response, self.write_limit)
        self.inject_lost_write()
        written = await self.store.put(key_of(request), value, version)
        if isinstance(written, Err):
            return await self.reply_error(request, response, written.unwrap_err())
        return await reply_no_content(response, [("etag", f'"{written.unwrap()}"')])

    async def delete_object(self, request: HttpRequest, response: HttpResponse) -> None:
        """Delete an object if its version matches the expected one."""
        version = expected_version(request)
        await self.start_call(request, response, self.write_limit)
        self.inject_lost_write()
        deleted = await self.store.delete(key_of(request), version)
        if isinstance(deleted, Err):
            return await self.reply_error(request, response, deleted.unwrap_err())
        return await reply_no_content(response)

    async def watch_object(self, request: HttpRequest, response: HttpResponse) -> None:
        """Long-poll for a newer version of an object; 204 after the timeout."""
        after = read_int(request, "after", 0)
        timeout_ms = min(read_int(request, "timeout_ms", MAX_WATCH_MS), MAX_WATCH_MS)
        await self.start_call(request, response, self.read_limit)
        found = await self.store.watch(key_of(request), after, timeout_ms)
        if isinstance(found, Err):
            return await self.reply_error(request, response, found.unwrap_err())
        # An outage may have started during the wait.
        await self.fail_during_outage(request, response)
        stored = found.unwrap()
        if stored is None:
            return await reply_no_content(response)
        return await reply_object(response, stored)

    async def list_vms(self, request: HttpRequest, response: HttpResponse) -> None:
        """Return the delayed VM list if it is newer than the given version."""
        self.store.calls["vms"] += 1
        await self.start_call(request, response, self.read_limit)
        listed = self.vms.read(self.faults.vm_lag_ms)
        if listed.version <= read_int(request, "after", -1):
            return await reply_no_content(response)
        vms = [
            {"address": address, **vm.model_dump()}
            for address, vm in sorted(listed.vms.items())
        ]
        return await response.reply_json(200, {"version": listed.version, "vms": vms})

    async def put_vm(self, request: HttpRequest, response: HttpResponse) -> None:
        """Add or update a VM; for tests and the demo."""
        vm = await read_body(request, Vm)
        self.publish_vms({**self.vms.current().vms, request.parameters["address"]: vm})
        await reply_no_content(response)

    async def delete_vm(self, request: HttpRequest, response: HttpResponse) -> None:
        """Remove a VM; for tests and the demo."""
        vms = dict(self.vms.current().vms)
        vms.pop(request.parameters["address"], None)
        self.publish_vms(vms)
        await reply_no_content(response)

    def publish_vms(self, vms: dict[str, Vm]) -> None:
        """Publish a new VM list, which becomes visible after the lag."""
        self.vms.set(VmList(self.vms.current().version + 1, vms))

    async def get_weights(self, request: HttpRequest, response: HttpResponse) -> None:
        """Return weights whose content is a deterministic function of the name."""
        self.store.calls["weights"] += 1
        await self.start_call(request, response, self.weight_limit)
        name = request.parameters["name"].encode()
        size = self.settings.weight_bytes
        await response.reply(200, (name * (size // max(len(name), 1) + 1))[:size])

    async def get_calls(self, request: HttpRequest, response: HttpResponse) -> None:
        """Return the number of calls of each kind."""
        await response.reply_json(200, dict(self.store.calls))

    async def get_faults(self, request: HttpRequest, response: HttpResponse) -> None:
        """Return the active faults."""
        await response.reply_json(200, self.faults.model_dump())

    async def set_faults(self, request: HttpRequest, response: HttpResponse) -> None:
        """Update the faults that the request contains."""
        changes = await read_body(request, Faults)
        named = {name: getattr(changes, name) for name in changes.model_fields_set}
        self.faults = self.faults.model_copy(update=named)
        await self.get_faults(request, response)

    async def start_call(
        self, request: HttpRequest, response: HttpResponse, limit: RateLimit
    ) -> None:
        """Apply the injected delay, an outage and the rate limit to a call."""
        await anyio.sleep(self.faults.slow_ms / MS_PER_S)
        await self.fail_during_outage(request, response)
        if not limit.admit():
            self.store.calls["rate_limited"] += 1
            raise HttpError(429, "rate limit exceeded", **{"retry-after": "1"})

    async def fail_during_outage(
        self, request: HttpRequest, response: HttpResponse
    ) -> None:
        """Fail the call if an outage is active."""
        if self.faults.outage is not FailureMode.NONE:
            self.store.calls["outage"] += 1
            await self.fail_call(request, response, self.faults.outage)

    async def fail_call(
        self, request: HttpRequest, response: HttpResponse, mode: FailureMode
    ) -> None:
        """Fail a call as ``mode`` specifies."""
        if mode is FailureMode.SILENT:
            await request.wait_disconnect()
            raise ClientDisconnected(
                "client disconnected during an injected outage", step="answer"
            )
        if mode is FailureMode.CLOSE:
            await abort_connection(response)
        raise HttpError(503, "the platform is unavailable")

    def inject_lost_write(self) -> None:
        """Inject a fault into the next store call if a lost write is pending."""
        for name, fault in (
            ("lose_before", StoreFault.LOST_BEFORE),
            ("lose_after", StoreFault.LOST_AFTER),
        ):
            remaining = getattr(self.faults, name)
            if remaining:
                self.store.faults[self.store.calls.total() + 1] = fault
                self.faults = self.faults.model_copy(update={name: remaining - 1})
                return

    async def reply_error(
        self, request: HttpRequest, response: HttpResponse, error: StoreError
    ) -> None:
        """Report a failed call; ambiguous ones fail as ``lost_answers`` specifies."""
        if error.kind is StoreErrorKind.AMBIGUOUS:
            await self.fail_call(request, response, self.faults.lost_answers)
        raise HttpError(STATUS_OF_ERROR[error.kind], error.kind)


def expected_version(request: HttpRequest) -> int:
    """Return the version that a write expects; 0 means that it creates the object."""
    if request.headers.get("if-none-match") == "*":
        return 0
    try:
        return int(request.headers["if-match"].strip('"'))
    except (KeyError, ValueError) as error:
        raise HttpError(400, "If-Match or If-None-Match is required") from error


async def reply_object(response: HttpResponse, stored: StoredObject) -> None:
    """Send an object and its version."""
    headers = [
        ("etag", f'"{stored.version}"'),
        ("content-type", "application/octet-stream"),
    ]
    await response.reply(200, stored.value, headers)


def key_of(request: HttpRequest) -> str:
    """Return the object key in the path of a request."""
    return unquote(request.parameters["rest"])
