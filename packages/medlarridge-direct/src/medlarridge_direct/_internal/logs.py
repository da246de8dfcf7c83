"""Structured logs: one JSON line per decision, rate-limited and never blocking."""

import os
import sys
from collections import deque
from collections.abc import Sequence
from datetime import UTC, datetime

import msgspec

from medlarridge._internal.clock import MS_PER_S, Clock
from medlarridge._internal.events import Event, register

from .attempt_outcome import DiscardedResponse
from .components import RouterComponents
from .coordination.stream_origins import StreamOrigin
from .metrics import Metrics
from .protocol.requests import ForwardingMetadata, RequestMetadata
from .protocol.servers import BackendServer
from .received_body import ReceivedBody
from .request_stage import RequestStage

MAX_LINES_PER_S = 400
"""Request lines that a process writes per second; further ones are counted and dropped.
Changes of the router's state are always written."""

MAX_QUEUED_LINES = 2_000
MAX_QUEUED_BYTES = 4_194_304
"""Lines that are queued for a slow reader of the log, and their bytes, as a line may have
a long ID that a client has chosen; older lines are dropped."""

ENCODER = msgspec.json.Encoder(enc_hook=str)

ATTEMPT_SENT = register(6000, "INFO", "attempt sent")
ATTEMPT_ENDED = register(6001, "INFO", "attempt ended without a response")
RESPONSE_DELIVERED = register(6002, "INFO", "response delivered")
REQUEST_REFUSED = register(6003, "INFO", "request refused")
RESPONSE_TRUNCATED = register(6004, "WARNING", "response truncated")
CLIENT_DISCONNECTED = register(
    6005, "INFO", "client disconnected before its response was complete"
)
REQUEST_REJECTED = register(6006, "INFO", "request rejected")
REQUEST_FAILED = register(6007, "ERROR", "internal error while handling a request")
LINES_DROPPED = register(6008, "WARNING", "log lines dropped")
PROMPT_AWAITED = register(
    6009, "INFO", "waiting for a prompt that the server is processing"
)

ENDED_BY_STOP = register(6012, "WARNING", "request ended because the router stops")
RESPONSE_DISCARDED = register(
    6014, "WARNING", "server sent a response that is not to the request in flight"
)
SILENT_SERVER_KEPT = register(
    6015, "INFO", "silent server is waited for, as no other takes over"
)
PERMIT_REFUSED = register(6011, "INFO", "servers with a limit take no request now")
STREAM_TAKEN_UP = register(6010, "INFO", "client takes up a stream")

VERSION_SETS_READ = register(6170, "INFO", "versions of streams read from the store")
VERSION_SET_STORED = register(6171, "INFO", "versions of a pool stored")
VERSION_NOT_STORED = register(
    6172, "WARNING", "new streams begin at a version that is not stored"
)
STREAM_RECORDS_READ = register(6173, "INFO", "stream records read from the store")
STREAMS_NOT_STORED = register(
    6174, "WARNING", "streams begin before the store holds their records"
)
STREAMS_STORED = register(6175, "INFO", "streams wait for their records again")

STARTED = register(6100, "INFO", "router started")
STOPPING = register(6101, "INFO", "router is stopping, waiting for requests in flight")
STOPPED = register(6102, "INFO", "router stopped")
SETTINGS_RELOADED = register(6103, "INFO", "settings reloaded")
SETTINGS_RELOAD_FAILED = register(6104, "ERROR", "settings could not be reloaded")
START_FAILED = register(6105, "ERROR", "router could not start")
STORE_ERA_BEGAN = register(6123, "WARNING", "store came back from an older copy")
CONFIGURATION_APPLIED = register(6110, "INFO", "configuration applied")
SERVER_CHANGED = register(6111, "INFO", "server list changed")
SERVER_AVOIDED = register(6112, "WARNING", "server temporarily avoided")
CRASH_STRIKE = register(
    6113, "WARNING", "request was running when its server went down"
)
PART_CRASH = register(
    6150, "WARNING", "server went down as it began to answer prompts with these parts"
)
PART_REFUSED = register(
    6151, "WARNING", "prompt part is refused because servers crash under it"
)
PART_CLEARED = register(6152, "INFO", "prompt part is no longer refused")
PARTS_TRIED = register(
    6153, "INFO", "request tries prompt parts that are refused or on probation"
)
MALFORMED_ENTRIES = register(6114, "WARNING", "malformed entries in the store ignored")
SERVER_SILENT = register(6115, "WARNING", "server is silent while attempts wait")
SERVER_RESPONDING = register(6116, "INFO", "server is no longer silent")
SERVER_SLOW = register(6190, "WARNING", "server is slower than its pool")
SERVER_USUAL = register(6191, "INFO", "server is as fast as its pool again")
SERVER_LEAVING = register(6117, "INFO", "a peer has seen the server leave the list")
SERVER_LIMIT_CHANGED = register(6118, "INFO", "limit that a server names changed")
NOTICE_MALFORMED = register(
    6119, "WARNING", "server said something of itself that could not be read"
)
SERVER_RESTS = register(6162, "INFO", "server asks this router for rest")
SERVER_SAYS_LEAVING = register(6163, "INFO", "server says that it leaves")
SERVER_COLD = register(6164, "INFO", "server counts as cold")
SERVER_WARM = register(6165, "INFO", "server no longer counts as cold")
PERMITS_KEPT = register(
    6160, "INFO", "this router gives out the permits for servers with a limit"
)
PERMITS_LEFT = register(6161, "INFO", "this router no longer gives out permits")
DATA_CENTRE_EVACUATED = register(
    6180, "WARNING", "data centre is evacuated and gets no more requests"
)
DATA_CENTRE_RETURNED = register(6181, "INFO", "data centre is taken back")
EVACUATION_HELD = register(
    6182, "WARNING", "store has lost an evacuation, which stays for a time"
)
STORE_LOST = register(6120, "WARNING", "store unreachable")
STORE_RECOVERED = register(6121, "INFO", "store reachable again")
SNAPSHOT_FAILED = register(6122, "WARNING", "snapshot could not be read from peer")
PEER_FOUND = register(6130, "INFO", "peer router found")
PEER_LOST = register(6131, "INFO", "peer router lost")
RETRY_SHARE_CHANGED = register(
    6132, "INFO", "this router's share of the retry slack changed"
)
REPORTS_HELD_BACK = register(
    6136, "WARNING", "reports wait because their share of the link is used"
)
CACHE_INDEX_SYNCED = register(6135, "INFO", "prompt cache index synced")
TASK_FAILED = register(6141, "ERROR", "background task failed and is restarted")
READINESS_CHANGED = register(6140, "INFO", "readiness changed")
PROCESS_STALLED = register(6142, "WARNING", "process stalled")
UNEXPECTED_ERROR = register(6143, "ERROR", "unexpected error")
MEMORY_SHORT = register(
    6145, "WARNING", "requests are refused, as there is no memory for them"
)
MEMORY_RECOVERED = register(
    6146, "INFO", "requests are no longer refused for want of memory"
)
ADMISSION_BEGAN = register(
    6196, "WARNING", "requests to a pool are refused by rank or account"
)
ADMISSION_ENDED = register(
    6197, "INFO", "requests to a pool are no longer refused by rank or account"
)
LIBRARY_WARNING = register(6144, "WARNING", "a library or the interpreter warns")


class LogWriter:
    """Writes whole lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Queue a line; drop the oldest ones if the queue is full."""
        while self.queue and (
            len(self.queue) >= MAX_QUEUED_LINES
            or self.queued_bytes + len(line) > MAX_QUEUED_BYTES
        ):
            self.queued_bytes -= len(self.queue.popleft())
            self.dropped += 1
        self.queue.append(line)
        self.queued_bytes += len(line)

    def flush(self) -> None:
        """Write as many queued lines as the descriptor accepts."""
        while self.queue:
            line = self.queue[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            self.queued_bytes -= written
            if written < len(line):
                self.queue[0] = line[written:]
                return
            self.queue.popleft()


class Log:
    """Log of the router; ``lines_left`` request lines are left in this second."""

    def __init__(self, clock: Clock, node: str) -> None:
        self.clock = clock
        self.node = node
        self.current_second = 0
        self.lines_left = MAX_LINES_PER_S
        self.dropped = 0
        self.total_dropped = 0
        os.set_blocking(sys.stdout.fileno(), False)
        self.writer = LogWriter(sys.stdout.fileno())

    def event(self, event: Event, **fields: object) -> None:
        """Log a change of the router's state."""
        line = {
            "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
            "steady_ms": self.clock.now_ms(),
            "level": event.level,
            "node": self.node,
            "code": event.code,
            "text": event.text,
            **fields,
        }
        self.writer.write(ENCODER.encode(line) + b"\n")

    def request_event(self, event: Event, **fields: object) -> None:
        """Log an event of a request unless the limit per second is reached."""
        second = self.clock.now_ms() // MS_PER_S
        if second != self.current_second:
            if self.dropped:
                self.event(LINES_DROPPED, lines=self.dropped)
            self.current_second, self.lines_left, self.dropped = (
                second,
                MAX_LINES_PER_S,
                0,
            )
        if self.lines_left <= 0:
            self.dropped += 1
            self.total_dropped += 1
            return
        self.lines_left -= 1
        self.event(event, **fields)

    def flush(self) -> None:
        """Write the queued lines."""
        self.writer.flush()


class RequestLog:
    """Log lines and metrics of one request."""

    def __init__(
        self, log: Log, clock: Clock, metrics: Metrics, request_id: str = ""
    ) -> None:
        self.log = log
        self.clock = clock
        self.metrics = metrics
        self.kind = "unknown"
        self.route = ""
        self.request_id = request_id
        self.shared_parts: tuple[str, ...] = ()
        self.started_ms = clock.now_ms()
        self.first_bytes_ms: int | None = None

    def write(self, event: Event, **fields: object) -> None:
        """Log an event with the request's ID and age."""
        self.log.request_event(
            event,
            request=self.request_id,
            after_ms=self.clock.now_ms() - self.started_ms,
            **fields,
        )

    def attempt_sent(
        self,
        server: BackendServer,
        components: RouterComponents,
        metadata: ForwardingMetadata,
        earlier_attempts: int,
        is_retry: bool,
        resumes: str | None,
    ) -> None:
        """Log an attempt and the state from which its server was selected.

        A retry comes after an attempt that reached a server, and takes from the budget.
        """
        resumption = {}
        if metadata.resume_after is not None:
            resumption = {"after_event": metadata.resume_after, "resumes": resumes}
        budget = {}
        if is_retry:
            self.metrics.retries[server.pool] += 1
            budget = {
                "retries_left": round(
                    components.retry_budget.remaining(server.pool), 1
                ),
                "routers": components.fleet_size.count,
            }
        self.write(
            ATTEMPT_SENT,
            route=self.route,
            account=metadata.account,
            pool=server.pool,
            server=server.instance,
            version=server.software_version,
            earlier=earlier_attempts,
            left_ms=metadata.deadline_ms,
            fetch_from=metadata.fetch_from,
            load=components.load.in_flight(server.instance),
            list_revision=str(components.servers.revision),
            list_age_ms=components.servers.age_ms(),
            configuration=components.configuration.version,
            **budget,
            **resumption,
        )

    def stream_taken_up(
        self, metadata: RequestMetadata, origin: StreamOrigin | None, source: str
    ) -> None:
        """Log where a stream began and how that is known."""
        self.metrics.resumptions[source] += 1
        self.write(
            STREAM_TAKEN_UP,
            resumes=metadata.resumes,
            after_event=metadata.resume_after,
            source=source,
            pool=None if origin is None else origin.pool,
            version=None if origin is None else origin.software_version,
        )

    def parts_tried(self, parts: list[str]) -> None:
        """Log that the request tries parts that are held otherwise."""
        self.write(PARTS_TRIED, parts=parts)

    def permit_refused(self, servers: Sequence[BackendServer]) -> None:
        """Log that servers with a limit take no further request now."""
        self.write(PERMIT_REFUSED, servers=[server.instance for server in servers])

    def prompt_awaited(self, server: BackendServer, wait_ms: float) -> None:
        """Log that the request waits for a prompt that the server is processing."""
        self.write(PROMPT_AWAITED, server=server.instance, wait_ms=round(wait_ms))

    def responses_discarded(
        self, server: BackendServer, discarded: Sequence[DiscardedResponse]
    ) -> None:
        """Log responses of a server that are not to this request."""
        for response in discarded:
            names = "nothing" if response.request_id is None else "another request"
            self.metrics.discarded[server.pool, names] += 1
            self.write(
                RESPONSE_DISCARDED,
                server=server.instance,
                names=response.request_id,
                earlier_on_connection=response.earlier,
            )

    def attempt_ended(self, server: BackendServer, ended: str, detail: str) -> None:
        """Log that an attempt ended without a response."""
        self.metrics.attempts[server.pool, ended] += 1
        self.write(
            ATTEMPT_ENDED,
            server=server.instance,
            ended=ended,
            detail=detail,
            parts=self.shared_parts,
        )

    def silent_server_kept(self, server: BackendServer, reason: str) -> None:
        """Log why no other server takes over from a silent one."""
        self.write(SILENT_SERVER_KEPT, server=server.instance, reason=reason)

    def response_broken(
        self, server: BackendServer, detail: str, received: ReceivedBody
    ) -> None:
        """Log that a response broke off after its head."""
        self.count_response(received, "broken")
        self.metrics.attempts[server.pool, "broken"] += 1
        self.write(
            ATTEMPT_ENDED,
            server=server.instance,
            ended="broken",
            detail=detail,
            parts=self.shared_parts,
            **received.log_fields(),
        )

    def count_response(self, received: ReceivedBody, ending: str) -> None:
        """Count a response by its framing and ending."""
        self.metrics.responses[received.framing, ending] += 1

    def response_started(self) -> None:
        """Record when the response began."""
        self.first_bytes_ms = self.clock.now_ms() - self.started_ms
        self.metrics.observe_first_bytes(self.kind, self.first_bytes_ms)

    def response_delivered(
        self, status: int, server: BackendServer, received: ReceivedBody
    ) -> None:
        """Log that the response was delivered."""
        self.count_response(received, "complete")
        self.metrics.attempts[server.pool, "answered"] += 1
        self.metrics.requests[self.kind, f"status-{status}"] += 1
        self.write(
            RESPONSE_DELIVERED,
            status=status,
            server=server.instance,
            first_bytes_ms=self.first_bytes_ms,
            **received.log_fields(),
        )

    def request_refused(
        self, status: int, reason: str, retry_after_s: float, **details: object
    ) -> None:
        """Log that the router refused the request, and what that was decided on."""
        self.metrics.requests[self.kind, "refused"] += 1
        self.metrics.refusals[status, reason] += 1
        self.write(
            REQUEST_REFUSED,
            status=status,
            reason=reason,
            retry_after_s=retry_after_s,
            **details,
        )

    def response_truncated(self, reason: str) -> None:
        """Log that a response that had begun was truncated."""
        self.metrics.requests[self.kind, "cut"] += 1
        self.write(RESPONSE_TRUNCATED, reason=reason)

    def ended_by_stop(self, stage: RequestStage, taken_since_stop_ms: int) -> None:
        """Log that the stop of this router ends the request.

        ``taken_since_stop_ms`` is negative for a request taken before the signal.
        """
        self.metrics.ended_by_stop[stage] += 1
        self.write(
            ENDED_BY_STOP,
            route=self.route,
            stage=stage,
            taken_since_stop_ms=taken_since_stop_ms,
        )

    def client_disconnected(self) -> None:
        """Log that the client disconnected."""
        self.metrics.requests[self.kind, "client-gone"] += 1
        self.write(CLIENT_DISCONNECTED)
