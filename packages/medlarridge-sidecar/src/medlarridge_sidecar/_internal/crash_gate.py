"""Gate that protects the backend server from requests that crash it."""

from collections.abc import Callable

import anyio
import msgspec

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.coordination.crash_guard import (
    CrashGuard,
    GuardRefusal,
    Refuse,
    Run,
    WaitIdle,
)
from medlarridge._internal.coordination.suspect_store_requests import ClaimRequest
from medlarridge._internal.events import register
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.log import log_event
from medlarridge._internal.node import SUSPECT_DATAGRAM
from medlarridge._internal.protocol.codec import decode_message
from medlarridge._internal.protocol.messages import NotRun, Refusal
from medlarridge._internal.protocol.suspects import SuspectNotices
from medlarridge._internal.state.suspect_store import SuspectStore

from .gates import ResponseWritten
from .live_attempt import LiveAttempt
from .reuse_messages import DatagramSender
from .server_monitor import ServerMonitor
from .server_result import CallState

IDLE_POLL_MS = 50
STORE_TIMEOUT_MS = 2_000
STORE_RETRY_INTERVAL_MS = 500
NOTICE_INTERVAL_MS = 1_000
NOTICE_FANOUT = 3

REQUEST_REFUSED = register(
    2010, "ERROR", "request is refused because it crashes servers"
)
STRIKES_NOT_STORED = register(
    2011, "WARNING", "crash strikes could not be stored; will be retried"
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SuspectNotices)


class CrashGate:
    """Isolates suspect requests and records strikes when the server crashes."""

    def __init__(
        self,
        guard: CrashGuard,
        store: SuspectStore,
        monitor: ServerMonitor,
        fleet: FleetView,
        sender: DatagramSender,
        random_peers: Callable[[int], list[str]],
    ) -> None:
        self.guard = guard
        self.store = store
        self.monitor = monitor
        self.fleet = fleet
        self.sender = sender
        self.random_peers = random_peers
        self.store_lock = anyio.Lock()
        self.server_restarted: Callable[[], None] = lambda: None

    async def enter(self, live: LiveAttempt) -> NotRun | ResponseWritten | None:
        """Wait for the decision of the guard; a suspect also needs a claim."""
        if self.monitor.down:
            return self.refusal(Refusal.SERVER_UNREACHABLE, "the server is down", 1_000)
        attempt = live.attempt
        key = f"{attempt.request_id}/{attempt.number}"
        while True:
            decision = self.guard.admit(key, attempt.route, attempt.fingerprint)
            if not isinstance(decision, WaitIdle):
                break
            try:
                await anyio.sleep(IDLE_POLL_MS / MS_PER_S)
            except BaseException:
                self.guard.withdraw(key)
                raise
        if isinstance(decision, ClaimRequest):
            decision = await self.claim(decision)
        if isinstance(decision, Run):
            self.monitor.call_started(key)
            return None
        return self.guard_refusal(live, decision)

    async def claim(self, request: ClaimRequest) -> Run | Refuse:
        """Request a claim from the store to run a suspect."""
        view = None
        try:
            with anyio.move_on_after(STORE_TIMEOUT_MS / MS_PER_S):
                view = (await self.store.apply(request)).ok()
        finally:
            decision = self.guard.claim_decided(request, view)
        return decision

    def guard_refusal(self, live: LiveAttempt, decision: Refuse) -> NotRun:
        """Return the refusal for a decision of the guard."""
        if decision.reason is not GuardRefusal.CRASHES_SERVERS:
            return self.refusal(
                Refusal.CRASH_SUSPECT,
                f"the request is under suspicion: {decision.reason}",
                decision.retry_after_ms,
            )
        log_event(
            REQUEST_REFUSED,
            request=live.attempt.request_id,
            account=live.attempt.account,
            fingerprint=live.attempt.fingerprint,
        )
        return self.refusal(
            Refusal.CRASHES_SERVERS,
            "servers died each time they ran this request",
            decision.retry_after_ms,
        )

    def refusal(self, reason: Refusal, detail: str, retry_after_ms: int) -> NotRun:
        """Return a refusal that carries the generation of the sidecar."""
        return NotRun(reason, self.fleet.generation, detail, retry_after_ms)

    async def leave(self, live: LiveAttempt) -> None:
        """Record strikes if the server crashed, before the router learns of the end."""
        key = f"{live.attempt.request_id}/{live.attempt.number}"
        result = live.result
        state = result.state if result is not None else None
        if state is CallState.BROKEN:
            if await self.monitor.crashed_during(key):
                await self.record_crash()
        else:
            self.monitor.call_ended(key)
            if state is CallState.NEVER_SENT:
                self.monitor.record_unreachable()
        self.guard.finished(key, succeeded=state is CallState.COMPLETE)

    async def record_crash(self) -> None:
        """Record and store a strike for every running request, once per crash."""
        server = f"{self.guard.server.rpartition('#')[0]}#{self.monitor.crash_count}"
        if self.guard.server != server:
            self.guard.server_died(server)
            self.server_restarted()
            await self.push_notices()
        with anyio.move_on_after(STORE_TIMEOUT_MS / MS_PER_S):
            await self.store_pending()

    async def store_pending(self) -> None:
        """Write the pending requests of the guard to the store."""
        async with self.store_lock:
            for request in list(self.guard.pending):
                stored = await self.store.apply(request)
                if stored.is_err():
                    log_event(STRIKES_NOT_STORED, error=stored.unwrap_err())
                    return
                self.guard.request_stored(request, stored.unwrap())

    async def run(self) -> None:
        """Load the suspects, then store and push changes periodically."""
        loaded = False
        while True:
            if not loaded:
                views = await self.store.load()
                loaded = views.is_ok()
                for view in views.unwrap_or([]):
                    self.guard.suspects.learn_shard(view)
            with anyio.move_on_after(STORE_TIMEOUT_MS / MS_PER_S):
                await self.store_pending()
            await self.push_notices()
            await anyio.sleep(
                (STORE_RETRY_INTERVAL_MS if self.guard.pending else NOTICE_INTERVAL_MS)
                / MS_PER_S
            )

    async def push_notices(self) -> None:
        """Send pending notices, if any, to random peers."""
        notices = self.guard.suspects.notices()
        if notices is not None:
            await self.send_notices(notices)

    async def receive(self, source: str, payload: bytes) -> None:
        """Merge the notices of a peer and forward those that are new."""
        message = decode_message(_decoder, payload, source)
        new_notices = self.guard.suspects.receive(message)
        if new_notices is not None:
            await self.send_notices(new_notices)

    async def send_notices(self, notices: SuspectNotices) -> None:
        """Send notices to random peers."""
        payload = _encoder.encode(notices)
        for address in self.random_peers(NOTICE_FANOUT):
            await self.sender.send(address, SUSPECT_DATAGRAM, payload)
