"""Client of the platform: object store, list of VMs and weight store."""

from enum import StrEnum
from types import TracebackType
from typing import Self, TypeVar
from urllib.parse import quote

import httpx
import msgspec
from result import Err, Ok, Result

from ..clock import MS_PER_S
from ..errors import StoreError, StoreErrorKind
from .store import CREATE, MAX_VALUE_BYTES, ObjectName, StoredObject

DEFAULT_TIMEOUT_MS = 2_000
WEIGHTS_TIMEOUT_MS = 60_000
MAX_CONNECTIONS = 8

T = TypeVar("T")

ERROR_KIND_OF_STATUS = {
    412: StoreErrorKind.CONFLICT,
    413: StoreErrorKind.TOO_LARGE,
    429: StoreErrorKind.RATE_LIMITED,
    503: StoreErrorKind.UNAVAILABLE,
}
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """A VM as the platform lists it."""

    address: str
    data_centre: str
    state: VmState


class VmList(msgspec.Struct, frozen=True):
    """The platform's list of VMs, which lags behind their actual state."""

    version: int
    vms: list[Vm]


class PlatformStore:
    """Object store of the platform over HTTP.

    A failed write is ambiguous if any part of it may have been sent. A failed read
    never is, because it has no effect.
    """

    def __init__(
        self,
        url: str,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self.url = url
        self.timeout_ms = timeout_ms
        self.client = httpx.AsyncClient(
            base_url=url,
            transport=transport,
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            # The platform is reached directly, so proxy variables are ignored.
            trust_env=False,
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    async def get(self, key: str) -> Result[StoredObject | None, StoreError]:
        """Return the object, or None if it does not exist."""
        result = await self.read("get", f"/objects/{quote(key)}")
        if isinstance(result, Err):
            return result
        return self.stored_object("get", key, result.unwrap())

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, StoreError]:
        """Write the object if its version is as expected; return the new version."""
        if len(value) > MAX_VALUE_BYTES:
            return Err(self.error(StoreErrorKind.TOO_LARGE, "put", key))
        result = await self.write("put", "PUT", key, expected_version, value)
        if isinstance(result, Err):
            return result
        version = version_of(result.unwrap())
        if version is None:
            # The write may have taken effect, but its version is not known.
            return Err(
                self.error(StoreErrorKind.AMBIGUOUS, "put", "response has no version")
            )
        return Ok(version)

    async def delete(self, key: str, expected_version: int) -> Result[None, StoreError]:
        """Delete the object if its version is as expected."""
        result = await self.write("delete", "DELETE", key, expected_version, b"")
        return result.map(lambda _: None)

    async def list(self, prefix: str) -> Result[list[ObjectName], StoreError]:
        """Return the objects whose key starts with the prefix, sorted by key."""
        result = await self.read("list", f"/objects?prefix={quote(prefix)}")
        return result.and_then(
            lambda response: self.decode("list", response, list[ObjectName])
        )

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> Result[StoredObject | None, StoreError]:
        """Wait for a version above ``after_version``; return None on a timeout."""
        path = f"/watch/{quote(key)}?after={after_version}&timeout_ms={timeout_ms}"
        result = await self.read("watch", path, self.timeout_ms + timeout_ms)
        if isinstance(result, Err):
            return result
        return self.stored_object("watch", key, result.unwrap())

    async def vms(self, after_version: int = -1) -> Result[VmList | None, StoreError]:
        """Return the list of VMs, or None if it is not newer than a version."""
        result = await self.read("vms", f"/vms?after={after_version}")
        if isinstance(result, Err):
            return result
        if result.unwrap().status_code == httpx.codes.NO_CONTENT:
            return Ok(None)
        return self.decode("vms", result.unwrap(), VmList)

    async def weights(self, name: str) -> Result[bytes, StoreError]:
        """Return weights from the rate-limited weight store."""
        path = f"/weights/{quote(name, safe='')}"
        result = await self.read("weights", path, WEIGHTS_TIMEOUT_MS)
        if isinstance(result, Err):
            return result
        if result.unwrap().status_code == httpx.codes.NOT_FOUND:
            return Err(self.error(StoreErrorKind.UNAVAILABLE, "weights", "not found"))
        return Ok(result.unwrap().content)

    async def read(
        self, step: str, path: str, timeout_ms: int | None = None
    ) -> Result[httpx.Response, StoreError]:
        """Send a GET request; a missing object is not an error."""
        request = self.client.build_request(
            "GET", path, timeout=(timeout_ms or self.timeout_ms) / MS_PER_S
        )
        result = await self.send(step, request, StoreErrorKind.UNAVAILABLE)
        if isinstance(result, Err):
            return result
        response = result.unwrap()
        if response.is_success or response.status_code == httpx.codes.NOT_FOUND:
            return result
        return Err(self.status_error(step, response, StoreErrorKind.UNAVAILABLE))

    async def write(
        self, step: str, method: str, key: str, expected_version: int, value: bytes
    ) -> Result[httpx.Response, StoreError]:
        """Send a conditional write."""
        if expected_version == CREATE:
            condition = {"if-none-match": "*"}
        else:
            condition = {"if-match": f'"{expected_version}"'}
        request = self.client.build_request(
            method,
            f"/objects/{quote(key)}",
            headers=condition,
            content=value,
            timeout=self.timeout_ms / MS_PER_S,
        )
        result = await self.send(step, request, StoreErrorKind.AMBIGUOUS)
        if isinstance(result, Err) or result.unwrap().is_success:
            return result
        return Err(self.status_error(step, result.unwrap(), StoreErrorKind.AMBIGUOUS))

    async def send(
        self, step: str, request: httpx.Request, broken_kind: StoreErrorKind
    ) -> Result[httpx.Response, StoreError]:
        """Send a request; ``broken_kind`` is the error kind of a broken connection."""
        try:
            return Ok(await self.client.send(request))
        except NOT_SENT_ERRORS as error:
            return Err(self.error(StoreErrorKind.UNAVAILABLE, step, describe(error)))
        except httpx.RequestError as error:
            return Err(self.error(broken_kind, step, describe(error)))

    def status_error(
        self, step: str, response: httpx.Response, server_error_kind: StoreErrorKind
    ) -> StoreError:
        """Return the error for a response without a success status."""
        status = response.status_code
        # After a server error other than 503, the call may have taken effect.
        other = server_error_kind if status >= 500 else StoreErrorKind.UNAVAILABLE
        kind = ERROR_KIND_OF_STATUS.get(status, other)
        return self.error(kind, step, f"status {status}")

    def stored_object(
        self, step: str, key: str, response: httpx.Response
    ) -> Result[StoredObject | None, StoreError]:
        """Return the object in a response, or None if there is none."""
        if response.status_code != httpx.codes.OK:
            return Ok(None)
        version = version_of(response)
        if version is None:
            return Err(
                self.error(StoreErrorKind.UNAVAILABLE, step, "response has no version")
            )
        return Ok(StoredObject(key, version, response.content))

    def decode(
        self, step: str, response: httpx.Response, model: type[T]
    ) -> Result[T, StoreError]:
        """Decode the JSON body of a response."""
        try:
            return Ok(msgspec.json.decode(response.content, type=model))
        except msgspec.DecodeError as error:
            return Err(self.error(StoreErrorKind.UNAVAILABLE, step, str(error)))

    def error(self, kind: StoreErrorKind, step: str, detail: str) -> StoreError:
        """Return an error of a call to this store."""
        return StoreError(kind, step, self.url, detail)


def version_of(response: httpx.Response) -> int | None:
    """Return the version in the ETag header of a response, or None."""
    text = response.headers.get("etag", "").strip('"')
    return int(text) if text.isascii() and text.isdigit() else None


def describe(error: Exception) -> str:
    """Return the message of an error, or the name of its type if it has none."""
    return str(error) or type(error).__name__
