"""Applies a crash guard's requests to the stored suspects."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import anyio
import msgspec
from result import Err, Ok, Result

from ..clock import MS_PER_S, Clock
from ..coordination.suspect_rules import apply_request
from ..coordination.suspect_store_requests import StoreRequest, SuspectShardView
from ..errors import StoreError, StoreErrorKind
from ..protocol.suspects import SuspectShard
from .keys import SUSPECTS_PREFIX
from .store import CREATE, ObjectStore

MAX_STORE_ATTEMPTS = 8
STORE_BACKOFF_MS = 4
"""Base of the exponential backoff, about the duration of a store call."""


@dataclass
class SuspectStore:
    """Applies requests of a crash guard with conditional updates."""

    store: ObjectStore
    clock: Clock
    random: Random
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep
    is_gone: Callable[[str], bool] = lambda server: False

    async def load(self) -> Result[list[SuspectShardView], StoreError]:
        """Return all shards, to initialise a starting process."""
        listed = await self.store.list(SUSPECTS_PREFIX)
        if isinstance(listed, Err):
            return listed
        views = []
        for name in listed.ok_value:
            read = await self.read(name.key)
            if isinstance(read, Err):
                return read
            views.append(read.ok_value)
        return Ok(views)

    async def apply(
        self, request: StoreRequest
    ) -> Result[SuspectShardView, StoreError]:
        """Apply a request and return the shard as it is stored afterwards."""
        error: StoreError | None = None
        for attempt in range(MAX_STORE_ATTEMPTS):
            if attempt:
                max_delay_s = STORE_BACKOFF_MS * 2**attempt / MS_PER_S
                await self.sleep(self.random.uniform(0, max_delay_s))
            result = await self.apply_once(request)
            if isinstance(result, Ok):
                return result
            error = result.err_value
            if error.kind not in (StoreErrorKind.CONFLICT, StoreErrorKind.AMBIGUOUS):
                return result
            # Requests are idempotent: the next attempt sees whether this one took
            # effect.
        assert error is not None
        return Err(error)

    async def apply_once(
        self, request: StoreRequest
    ) -> Result[SuspectShardView, StoreError]:
        """Read the shard, apply the request and write the shard if it changed."""
        read = await self.read(request.shard)
        if isinstance(read, Err):
            return read
        view = read.ok_value
        shard = apply_request(view.shard, request, self.clock.now_ms(), self.is_gone)
        if shard is None:
            return Ok(view)
        value = msgspec.msgpack.encode(shard)
        written = await self.store.put(view.key, value, view.version)
        if isinstance(written, Err):
            return written
        return Ok(SuspectShardView(view.key, written.ok_value, shard))

    async def read(self, key: str) -> Result[SuspectShardView, StoreError]:
        """Return one shard, empty if it is missing or malformed."""
        read = await self.store.get(key)
        if isinstance(read, Err):
            return read
        stored = read.ok_value
        if stored is None:
            return Ok(SuspectShardView(key, CREATE, SuspectShard()))
        try:
            shard = msgspec.msgpack.decode(stored.value, type=SuspectShard)
        except msgspec.MsgspecError:
            shard = SuspectShard()
        return Ok(SuspectShardView(key, stored.version, shard))
