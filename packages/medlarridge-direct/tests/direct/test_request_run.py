import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.crash_guard import (
    STRIKES_TO_REFUSE,
    request_fingerprint,
)
from medlarridge_direct._internal.coordination.server_health import SILENCE_TIMEOUT_MS
from medlarridge_direct._internal.logs import Log
from medlarridge_direct._internal.peer_snapshots import decode_content, encode_content
from medlarridge_direct._internal.protocol.configuration import (
    Configuration,
    Pool,
    RouteKind,
)
from medlarridge_direct._internal.protocol.requests import ClientRequest
from medlarridge_direct._internal.protocol.servers import ServerState
from medlarridge_direct._internal.request_handler import (
    FRESH_CONFIGURATION_MS,
    NOT_READY_RETRY_AFTER_MS,
    NOT_READY_RETRY_JITTER_MS,
    RequestHandler,
)
from medlarridge_direct._internal.server_selection import rank_servers

from .samples import configuration, listing, prompt, route, server
from .scripted import CLOSE, REFUSE, RESET, make_components

pytestmark = pytest.mark.anyio

OK = b"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok"
NOT_EXECUTED_503 = (
    b"HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
MISDIRECTED = b"HTTP/1.1 421 Elsewhere\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
UNMARKED_503 = (
    b"HTTP/1.1 503 Busy\r\nId: 1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
)
ERROR = b"HTTP/1.1 500 Error\r\nId: 1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
ERROR_BODY = (
    b"HTTP/1.1 500 Error\r\nId: 1\r\nSignature: s\r\nContent-Length: 4\r\n\r\noops"
)
UNSIGNED = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"
STREAM = (
    b"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"
UNFRAMED_STREAM = b"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"
PARTIAL_EVENT = b"id: 2\nda"
FRAMED_STREAM = (
    b"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: %d\r\n\r\n"
    % len(EVENT + PARTIAL_EVENT)
)


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream_event(number):
    return chunk(b"id: %d\ndata: x\n\n" % number)


WHOLE_FRAMED_STREAM = (
    b"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%b"
    % (len(EVENT), EVENT)
)
STREAMS_ENDING_INSIDE_AN_EVENT = {
    "closed": (UNFRAMED_STREAM + EVENT + PARTIAL_EVENT, CLOSE),
    "closed after the field": (UNFRAMED_STREAM + EVENT + b"id: 2\ndata: x\n", CLOSE),
    "last chunk": (STREAM + chunk(EVENT + PARTIAL_EVENT) + END,),
    "length": (FRAMED_STREAM + EVENT + PARTIAL_EVENT,),
}


class RecordedResponse:
    """Records the response that a client gets."""

    client_left = False

    def __init__(self):
        self.started = self.ended = False
        self.status = None
        self.headers = b""
        self.body = bytearray()
        self.content_length = None

    def begin(self, status, reason, headers, content_length):
        self.started = True
        self.status, self.headers, self.content_length = status, headers, content_length

    async def write(self, data):
        self.body += data

    async def write_last(self, data):
        await self.write(data)
        self.end()

    def end(self):
        self.ended = True

    def send(self, status, headers, body):
        self.begin(status, b"", headers, len(body))
        self.body += body
        self.ended = True


async def handle_request(
    scripts,
    kind=RouteKind.IDEMPOTENT,
    headers=(),
    components=None,
    response=None,
    versions=None,
    method=b"POST",
    handler=None,
    **changes,
):
    """Handle one request with scripted servers; return response and components.

    ``versions`` are the servers' software versions by instance, all "v1" by default.
    """
    versions = versions or dict.fromkeys(scripts, "v1")
    components = components or make_components(scripts)
    if components.configuration.current is None:
        components.configuration.apply_if_newer(
            configuration(route(kind, **changes)), 1_000_000
        )
    pool = [
        server(name, port=8000 + number, software_version=versions[name])
        for number, name in enumerate(sorted(scripts))
    ]
    components.servers.update(listing(*pool), 1_000_000)
    request = ClientRequest(
        method=method,
        target=b"/plan/1",
        headers=[
            (b"id", b"1"),
            (b"host", b"desk.example"),
            (b"key", b"key-1"),
            *headers,
        ],
        body=b"body",
        received_ms=components.clock.now_ms(),
        keep_alive=True,
    )
    response = response or RecordedResponse()
    handler = handler or RequestHandler(components, Log(components.clock, "node"))
    await handler.handle(request, response)
    return response, components


def sent_to(components):
    return [instance for instance, _ in components.connections.sent]


class TestRepeats:
    @pytest.mark.parametrize(
        "first", [(RESET,), (CLOSE,), (OK[:-1], RESET), (UNSIGNED,)]
    )
    async def test_idempotent_request_is_retried_at_another_server(self, first):
        """Guards against errors where another server would have responded."""
        scripts = {"a": [first], "b": [(OK,)]}
        components = make_components(scripts)
        components.load.begin_attempt("b")
        response, _ = await handle_request(scripts, components=components)
        assert sent_to(components) == ["a", "b"]
        assert (response.status, bytes(response.body)) == (200, b"ok")

    @pytest.mark.parametrize("kind", [RouteKind.AT_MOST_ONCE, RouteKind.STREAM])
    @pytest.mark.parametrize("script", [(RESET,), (CLOSE,), (OK[:-1], RESET)])
    async def test_unrepeatable_request_that_may_have_run_is_not_retried(
        self, kind, script
    ):
        """Guards against an invoice that is sent twice."""
        scripts = {"a": [script], "b": [script]}
        response, components = await handle_request(scripts, kind, resumable=False)
        assert len(components.connections.sent) == 1
        assert response.status == 502 or not response.ended

    @pytest.mark.parametrize("first", [REFUSE, (NOT_EXECUTED_503,)])
    async def test_request_that_did_not_run_is_sent_to_another_server(self, first):
        """Guards against refusals while other servers are free."""
        components = make_components({"a": [first], "b": [(OK,)]})
        components.load.begin_attempt("b")
        response, _ = await handle_request(
            {"a": 0, "b": 0}, RouteKind.AT_MOST_ONCE, components=components
        )
        assert response.status == 200

    async def test_attempts_stay_within_the_limit_of_the_route(self):
        """Guards against more runs than the operator allows."""
        scripts = {name: [(RESET,)] for name in "abcd"}
        _, components = await handle_request(scripts, max_attempts=2)
        assert len(components.connections.sent) == 2

    async def test_failed_connection_uses_no_retry_budget(self):
        """Guards against a budget used up by servers that accept no connection."""
        scripts = {"a": [REFUSE], "b": [(OK,)]}
        components = make_components(scripts)
        components.load.begin_attempt("b")
        while components.retry_budget.take("models"):
            pass
        response, _ = await handle_request(scripts, components=components)
        assert response.status == 200

    async def test_exhausted_budget_stops_retries(self):
        """Guards against retries that add to an overload."""
        scripts = {name: [(NOT_EXECUTED_503,)] for name in "abc"}
        components = make_components(scripts)
        while components.retry_budget.take("models"):
            pass
        response, _ = await handle_request(scripts, components=components)
        assert len(components.connections.sent) == 1
        assert response.status == 503


class TestLoadBound:
    async def test_silent_servers_count_in_the_mean_load(self):
        """Guards against a load limit that rises while a silent server gets no work."""
        components = make_components()
        pool = [server(f"s-{n}", port=8000 + n) for n in range(5)]
        components.servers.update(listing(*pool), 1_000_000)
        for each in ("s-1", "s-2", "s-3"):
            for _ in range(4):
                components.load.begin_attempt(each)
        for _ in range(8):
            components.load.begin_attempt("s-0")
        components.placement.cache_index.record_prompt(prompt(), "s-0")
        chosen = rank_servers(components, Pool("models", 0), prompt())[0]
        assert chosen.instance == "s-0"
        for _ in range(3):
            components.load.begin_attempt("s-0")
        components.health.record_sent("s-4", "models")
        components.clock.advance(SILENCE_TIMEOUT_MS + 1)
        ranked = rank_servers(components, Pool("models", 0), prompt())
        assert "s-4" not in [each.instance for each in ranked]
        assert ranked[0].instance != "s-0"

    async def test_draining_servers_count_in_the_mean_load(self):
        """Guards against a load limit that rises while a release drains servers."""
        components = make_components()
        pool = [server(f"s-{n}", port=8000 + n) for n in range(4)]
        leaving = server("s-4", port=8004, state=ServerState.DRAINING)
        components.servers.update(listing(*pool, leaving), 1_000_000)
        for each in ("s-1", "s-2", "s-3"):
            for _ in range(4):
                components.load.begin_attempt(each)
        for _ in range(11):
            components.load.begin_attempt("s-0")
        components.placement.cache_index.record_prompt(prompt(), "s-0")
        ranked = rank_servers(components, Pool("models", 0), prompt())
        assert ranked[0].instance != "s-0"
        assert "s-4" not in [each.instance for each in ranked]


class TestReplacedServers:
    async def test_replaced_server_is_tried_once(self):
        """Guards against retries at an address that another server now has."""
        components = make_components({"a": [(MISDIRECTED,)], "b": [(OK,)] * 9})
        components.load.begin_attempt("b")
        for _ in range(5):
            response, _ = await handle_request(
                {"a": 0, "b": 0}, RouteKind.AT_MOST_ONCE, components=components
            )
            assert response.status == 200
            components.clock.advance(500)
        assert sent_to(components).count("a") == 1


class TestFinalStatus:
    async def test_503_is_sent_only_if_the_request_did_not_run(self):
        """Guards against 503, which means "not run", for what may have run."""
        refused, _ = await handle_request(
            {"a": [(NOT_EXECUTED_503,)]}, RouteKind.AT_MOST_ONCE
        )
        assert refused.status == 503
        assert b"retry-after-ms: 0" not in refused.headers
        unknown, _ = await handle_request(
            {"a": [(UNMARKED_503,)]}, RouteKind.AT_MOST_ONCE
        )
        assert unknown.status == 502

    async def test_unsigned_success_is_not_delivered(self):
        """Guards against delivering a response that is not the server's own."""
        response, _ = await handle_request({"a": [(UNSIGNED,)]}, RouteKind.AT_MOST_ONCE)
        assert response.status == 502

    async def test_signed_server_error_is_delivered(self):
        """Guards against hiding the outcome of a request that ran."""
        response, _ = await handle_request({"a": [(ERROR,)]}, RouteKind.AT_MOST_ONCE)
        assert (response.status, response.headers) == (500, b"signature: s\r\n")

    async def test_server_gets_the_remaining_deadline(self):
        """Guards against servers that run requests whose clients have given up."""
        clock = ManualClock(1_000_000)
        components = make_components({"a": [(OK,)]}, clock)
        await handle_request(
            {"a": 0}, headers=[(b"deadline", b"700")], components=components
        )
        assert b"deadline: 700\r\n" in components.connections.sent[0][1].written

    async def test_broken_small_response_is_replaced_by_an_error(self):
        """Guards against a truncated response where an error can still be sent."""
        response, _ = await handle_request(
            {"a": [(OK[:-1], CLOSE)]}, RouteKind.AT_MOST_ONCE
        )
        assert (response.status, response.ended) == (502, True)


class TestStreams:
    async def test_resumable_stream_continues_at_another_server(self):
        """Guards against streams that are lost with their server."""
        partial_event = stream_event(3)[:8]
        scripts = {
            "a": [(STREAM + stream_event(1) + stream_event(2) + partial_event, RESET)],
            "b": [],
        }
        scripts["b"] = [(STREAM + stream_event(2) + stream_event(3) + END,)]
        components = make_components(scripts)
        components.load.begin_attempt("b")
        response, _ = await handle_request(
            scripts, RouteKind.STREAM, components=components, resumable=True, gap_ms=400
        )
        assert bytes(response.body) == b"".join(
            b"id: %d\ndata: x\n\n" % number for number in (1, 2, 3)
        )
        assert response.ended
        assert b"resume: 2\r\n" in components.connections.sent[1][1].written

    @pytest.mark.parametrize(
        "second", [(ERROR_BODY,), (UNSIGNED,), (NOT_EXECUTED_503,)]
    )
    async def test_failure_on_resuming_is_not_written_to_the_stream(self, second):
        """Guards against bytes of an error response inside a stream."""
        components = make_components(
            {"a": [(STREAM + stream_event(1), RESET)], "b": [second]}
        )
        components.load.begin_attempt("b")
        response, _ = await handle_request(
            {"a": 0, "b": 0}, RouteKind.STREAM, components=components, resumable=True
        )
        assert bytes(response.body) == b"id: 1\ndata: x\n\n"
        assert not response.ended

    async def test_broken_unresumable_stream_is_truncated(self):
        """Guards against a truncated stream that looks complete."""
        response, components = await handle_request(
            {"a": [(STREAM + stream_event(1), RESET), (STREAM + END,)]},
            RouteKind.STREAM,
            resumable=False,
            max_attempts=1,
        )
        assert response.started
        assert not response.ended
        assert len(components.connections.sent) == 1

    @pytest.mark.parametrize("line_end", [b"\r\n", b"\r"])
    async def test_stream_with_other_line_ends_is_resumed(self, line_end):
        """Guards against streams that are held back and start over after a break."""
        first, second = (
            chunk(b"id: %d" % number + line_end + b"data: x" + line_end * 2)
            for number in (1, 2)
        )
        components = make_components(
            {"a": [(STREAM + first, RESET)], "b": [(STREAM + second + END,)]}
        )
        components.load.begin_attempt("b")
        response, _ = await handle_request(
            {"a": 0, "b": 0},
            RouteKind.STREAM,
            components=components,
            resumable=True,
            max_attempts=2,
        )
        assert b"resume: 1\r\n" in components.connections.sent[1][1].written
        assert bytes(response.body).count(b"id: ") == 2

    @pytest.mark.parametrize("ending", STREAMS_ENDING_INSIDE_AN_EVENT)
    async def test_stream_that_ends_inside_an_event_is_truncated(self, ending):
        """Guards against a response framed as complete that the server broke off."""
        response, _ = await handle_request(
            {"a": [STREAMS_ENDING_INSIDE_AN_EVENT[ending]]},
            RouteKind.STREAM,
            resumable=False,
            max_attempts=1,
        )
        assert response.started
        assert not response.ended
        assert response.content_length is None

    @pytest.mark.parametrize("ending", STREAMS_ENDING_INSIDE_AN_EVENT)
    async def test_stream_that_ends_inside_an_event_is_resumed(self, ending):
        """Guards against a resumable stream framed as complete with part of an event."""
        second = (STREAM + stream_event(2) + END,)
        components = make_components(
            {"a": [STREAMS_ENDING_INSIDE_AN_EVENT[ending]], "b": [second]}
        )
        components.load.begin_attempt("b")
        response, _ = await handle_request(
            {"a": 0, "b": 0},
            RouteKind.STREAM,
            components=components,
            resumable=True,
            max_attempts=2,
        )
        assert bytes(response.body) == EVENT + b"id: 2\ndata: x\n\n"
        assert response.ended

    @pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.AT_MOST_ONCE])
    async def test_body_that_ends_with_its_server_is_broken(self, kind):
        """Guards against part of a response that looks complete, as the connections of
        a server that crashed or exited are closed like those of a whole response."""
        scripts = {"a": [(UNFRAMED_STREAM + EVENT, CLOSE)]}
        components = make_components(scripts)
        components.connections.refusing.add("a")
        response, _ = await handle_request(
            scripts, kind, components=components, resumable=False
        )
        assert not response.ended or response.status == 502

    async def test_stream_that_ends_with_its_server_is_resumed(self):
        """Guards against a resumable stream without its last events."""
        components = make_components(
            {
                "a": [(UNFRAMED_STREAM + EVENT, CLOSE)],
                "b": [(STREAM + stream_event(2) + END,)],
            }
        )
        components.connections.refusing.add("a")
        components.load.begin_attempt("b")
        response, _ = await handle_request(
            {"a": 0, "b": 0},
            RouteKind.STREAM,
            components=components,
            resumable=True,
            max_attempts=2,
        )
        assert bytes(response.body) == EVENT + b"id: 2\ndata: x\n\n"
        assert response.ended

    async def test_body_of_another_type_is_not_read_as_a_stream(self):
        """Guards against errors in place of a plain response on a streaming route."""
        plain = OK.replace(b"Id: 1", b"Id: 1\r\nContent-Type: application/json")
        response, _ = await handle_request(
            {"a": [(plain,)]}, RouteKind.STREAM, resumable=False
        )
        assert (response.ended, bytes(response.body)) == (True, b"ok")

    async def test_stream_on_another_route_is_checked_for_its_last_event(self):
        """Guards against part of a stream that a route of another kind delivers."""
        head = UNFRAMED_STREAM[:-2] + b"Content-Type: text/event-stream\r\n\r\n"
        response, _ = await handle_request(
            {"a": [(head + EVENT + PARTIAL_EVENT, CLOSE)]}, RouteKind.AT_MOST_ONCE
        )
        assert response.status == 502

    @pytest.mark.parametrize("resumable", [False, True])
    async def test_stream_closed_before_its_first_event_gets_an_error(self, resumable):
        """Guards against an empty success for a server that crashed before an event."""
        response, _ = await handle_request(
            {"a": [(UNFRAMED_STREAM, CLOSE)]}, RouteKind.STREAM, resumable=resumable
        )
        assert (response.status, response.ended) == (502, True)

    async def test_stream_that_breaks_before_its_first_event_gets_an_error(self):
        """Guards against an empty response that looks like a success."""
        response, _ = await handle_request(
            {"a": [(STREAM, RESET)]}, RouteKind.STREAM, resumable=False
        )
        assert response.status == 502


class TestResponseCounts:
    @pytest.mark.parametrize(
        ("script", "counted"),
        [
            ((STREAM + stream_event(1) + END,), ("chunked", "complete")),
            ((UNFRAMED_STREAM + EVENT, CLOSE), ("close", "complete")),
            ((UNFRAMED_STREAM + EVENT, RESET), ("close", "broken")),
            ((WHOLE_FRAMED_STREAM,), ("length", "complete")),
        ],
    )
    async def test_framing_and_ending_are_counted(self, script, counted):
        """Guards against a truncated response whose framing nobody can tell later."""
        _, components = await handle_request(
            {"a": [script]}, RouteKind.STREAM, resumable=False
        )
        assert components.metrics.responses == {counted: 1}


class TestRejections:
    async def test_request_before_the_first_configuration_gets_503(self):
        """Guards against 404 from a router that has no routes yet."""
        components = make_components()
        request = ClientRequest(b"GET", b"/", [(b"id", b"1")], b"", 0, True)
        response = RecordedResponse()
        await RequestHandler(components, Log(components.clock, "n")).handle(
            request, response
        )
        assert response.status == 503

    async def test_retry_times_are_spread_while_there_is_no_configuration(self):
        """Guards against clients that use up their retries during a store outage.

        Clients retry only once or twice, and an outage lasts seconds.
        """
        components = make_components()
        request = ClientRequest(b"GET", b"/", [(b"id", b"1")], b"", 0, True)
        handler = RequestHandler(components, Log(components.clock, "n"))
        retry_delays_ms = []
        for _ in range(50):
            response = RecordedResponse()
            await handler.handle(request, response)
            retry_delays_ms.append(int(response.headers.split(b": ")[1]))
        assert min(retry_delays_ms) >= NOT_READY_RETRY_AFTER_MS
        assert (
            max(retry_delays_ms) - min(retry_delays_ms) > NOT_READY_RETRY_JITTER_MS / 2
        )

    @pytest.mark.parametrize(
        ("age_ms", "status"), [(0, 404), (FRESH_CONFIGURATION_MS + 1, 503)]
    )
    async def test_stale_configuration_does_not_reject(self, age_ms, status):
        """Guards against rejecting a route that was added during an outage."""
        clock = ManualClock(1_000_000)
        components = make_components({}, clock)
        other_route = route(path_prefix="/other/")
        components.configuration.apply_if_newer(
            configuration(other_route), clock.now_ms()
        )
        clock.advance(age_ms)
        response, _ = await handle_request({}, components=components)
        assert response.status == status

    async def test_unknown_key_is_rejected(self):
        """Guards against serving accounts whose key was revoked."""
        components = make_components({"a": [(OK,)]})
        components.configuration.apply_if_newer(
            configuration(keys=("other",)), 1_000_000
        )
        response, _ = await handle_request({"a": 0}, components=components)
        assert response.status == 401
        assert components.connections.sent == []

    @pytest.mark.parametrize("from_peer", [False, True])
    async def test_no_key_is_valid_once_all_are_taken_away(self, from_peer):
        """Guards against serving everybody where accounts are left without keys."""
        current = configuration(keys=(), requires_key=True)
        if from_peer:
            current = decode_content(encode_content(current), Configuration)
        components = make_components({"a": [(OK,)]})
        components.configuration.apply_if_newer(current, 1_000_000)
        response, _ = await handle_request({"a": 0}, components=components)
        assert response.status == 401
        assert components.connections.sent == []

    async def test_request_that_crashed_servers_is_refused(self):
        """Guards against one more server that crashes under the same request."""
        components = make_components({"a": [(OK,)]})
        fingerprint = request_fingerprint(b"POST", b"/plan/1", "planners", b"body")
        for number in range(STRIKES_TO_REFUSE):
            components.crash_guard.add_strike(fingerprint, f"lost-{number}")
        response, _ = await handle_request({"a": 0}, components=components)
        assert response.status == 503
        assert components.connections.sent == []
