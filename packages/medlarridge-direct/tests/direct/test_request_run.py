import pytest

from medlarridge import ManualClock
from medlarridge_direct._internal.coordination.crash_guard import (
    MAX_STRIKES,
    request_fingerprint,
)
from medlarridge_direct._internal.coordination.server_health import SILENCE_TIMEOUT_MS
from medlarridge_direct._internal.logs import Log
from medlarridge_direct._internal.protocol.configuration import Pool, RouteKind
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


def stream_event(number):
    data = b"id: %d\ndata: x\n\n" % number
    return b"%x\r\n%b\r\n" % (len(data), data)


class RecordedResponse:
    """Records what a client gets."""

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

    def end(self):
        self.ended = True

    def send(self, status, headers, body):
        self.begin(status, b"", headers, len(body))
        self.body += body
        self.ended = True


async def handle_request(
    scripts, kind=RouteKind.IDEMPOTENT, headers=(), components=None, **changes
):
    """Send one request to servers with scripts; return the answer and the parts."""
    components = components or make_components(scripts)
    if components.configuration.current is None:
        components.configuration.update(
            configuration(route(kind, **changes)), 1_000_000
        )
    pool = [server(name, port=8000 + i) for i, name in enumerate(sorted(scripts))]
    components.servers.update(listing(*pool), 1_000_000)
    request = ClientRequest(
        method=b"POST",
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
    response = RecordedResponse()
    await RequestHandler(components, Log(components.clock, "node")).handle(
        request, response
    )
    return response, components


def sent_to(components):
    return [instance for instance, _ in components.connections.sent]


class TestRepeats:
    @pytest.mark.parametrize(
        "first", [(RESET,), (CLOSE,), (OK[:-1], RESET), (UNSIGNED,)]
    )
    async def test_an_idempotent_request_runs_elsewhere(self, first):
        """Guards against failures that another server would have answered."""
        scripts = {"a": [first], "b": [(OK,)]}
        components = make_components(scripts)
        components.load.begin_attempt("b")
        response, _ = await handle_request(scripts, components=components)
        assert sent_to(components) == ["a", "b"]
        assert (response.status, bytes(response.body)) == (200, b"ok")

    @pytest.mark.parametrize("kind", [RouteKind.AT_MOST_ONCE, RouteKind.STREAM])
    @pytest.mark.parametrize("script", [(RESET,), (CLOSE,), (OK[:-1], RESET)])
    async def test_what_may_have_run_never_runs_again(self, kind, script):
        """Guards against an invoice that is sent twice."""
        scripts = {"a": [script], "b": [script]}
        response, components = await handle_request(scripts, kind, resumable=False)
        assert len(components.connections.sent) == 1
        assert response.status == 502 or not response.ended

    @pytest.mark.parametrize("first", [REFUSE, (NOT_EXECUTED_503,)])
    async def test_what_did_not_run_is_sent_elsewhere(self, first):
        """Guards against refusals while other servers are free."""
        components = make_components({"a": [first], "b": [(OK,)]})
        components.load.begin_attempt("b")
        response, _ = await handle_request(
            {"a": 0, "b": 0}, RouteKind.AT_MOST_ONCE, components=components
        )
        assert response.status == 200

    async def test_attempts_stay_within_the_route(self):
        """Guards against more runs than the operator allows."""
        scripts = {name: [(RESET,)] for name in "abcd"}
        _, components = await handle_request(scripts, max_attempts=2)
        assert len(components.connections.sent) == 2

    async def test_what_reached_no_server_costs_no_retry(self):
        """Guards against a budget spent on servers that accept no connection."""
        scripts = {"a": [REFUSE], "b": [(OK,)]}
        components = make_components(scripts)
        components.load.begin_attempt("b")
        while components.retry_budget.take("models"):
            pass
        response, _ = await handle_request(scripts, components=components)
        assert response.status == 200

    async def test_an_empty_budget_ends_the_retries(self):
        """Guards against retries that add to an overload."""
        scripts = {name: [(NOT_EXECUTED_503,)] for name in "abc"}
        components = make_components(scripts)
        while components.retry_budget.take("models"):
            pass
        response, _ = await handle_request(scripts, components=components)
        assert len(components.connections.sent) == 1
        assert response.status == 503


class TestLoadBound:
    async def test_servers_that_are_silent_here_count_in_the_mean(self):
        """Guards against more load than the bound while one server gets no work."""
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
        components.health.record_sent("s-4")
        components.clock.advance(SILENCE_TIMEOUT_MS + 1)
        ranked = rank_servers(components, Pool("models", 0), prompt())
        assert "s-4" not in [each.instance for each in ranked]
        assert ranked[0].instance != "s-0"

    async def test_servers_that_drain_count_in_the_mean(self):
        """Guards against more load than the bound while a release goes on."""
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
    async def test_a_server_that_is_no_longer_at_its_address_is_asked_once(self):
        """Guards against retries spent on an entry that outlived its server."""
        components = make_components({"a": [(MISDIRECTED,)], "b": [(OK,)] * 9})
        components.load.begin_attempt("b")
        for _ in range(5):
            response, _ = await handle_request(
                {"a": 0, "b": 0}, RouteKind.AT_MOST_ONCE, components=components
            )
            assert response.status == 200
            components.clock.advance(500)
        assert sent_to(components).count("a") == 1


class TestTruth:
    async def test_a_promise_is_given_only_if_nothing_ran(self):
        """Guards against "not run" for a request that may have run."""
        refused, _ = await handle_request(
            {"a": [(NOT_EXECUTED_503,)]}, RouteKind.AT_MOST_ONCE
        )
        assert refused.status == 503
        assert b"retry-after-ms: 0" not in refused.headers
        unknown, _ = await handle_request(
            {"a": [(UNMARKED_503,)]}, RouteKind.AT_MOST_ONCE
        )
        assert unknown.status == 502

    async def test_an_unsigned_success_is_not_passed_on(self):
        """Guards against bytes that are not the server's answer."""
        response, _ = await handle_request({"a": [(UNSIGNED,)]}, RouteKind.AT_MOST_ONCE)
        assert response.status == 502

    async def test_a_servers_own_failure_is_passed_on(self):
        """Guards against hiding the outcome of a request that ran."""
        response, _ = await handle_request({"a": [(ERROR,)]}, RouteKind.AT_MOST_ONCE)
        assert (response.status, response.headers) == (500, b"signature: s\r\n")

    async def test_the_deadline_passed_on_is_what_is_left(self):
        """Guards against servers that work for clients that have given up."""
        clock = ManualClock(1_000_000)
        components = make_components({"a": [(OK,)]}, clock)
        await handle_request(
            {"a": 0}, headers=[(b"deadline", b"700")], components=components
        )
        assert b"deadline: 700\r\n" in components.connections.sent[0][1].written

    async def test_a_cut_small_answer_is_not_begun(self):
        """Guards against a cut connection where a clear failure could be sent."""
        response, _ = await handle_request(
            {"a": [(OK[:-1], CLOSE)]}, RouteKind.AT_MOST_ONCE
        )
        assert (response.status, response.ended) == (502, True)


class TestStreams:
    async def test_a_resumable_stream_goes_on_elsewhere(self):
        """Guards against streams that end with their server."""
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
    async def test_a_failure_on_resuming_is_not_part_of_the_stream(self, second):
        """Guards against bytes of another answer inside a stream."""
        components = make_components(
            {"a": [(STREAM + stream_event(1), RESET)], "b": [second]}
        )
        components.load.begin_attempt("b")
        response, _ = await handle_request(
            {"a": 0, "b": 0}, RouteKind.STREAM, components=components, resumable=True
        )
        assert bytes(response.body) == b"id: 1\ndata: x\n\n"
        assert not response.ended

    async def test_another_stream_is_cut_and_not_ended(self):
        """Guards against a cut stream that looks complete."""
        response, components = await handle_request(
            {"a": [(STREAM + stream_event(1), RESET), (STREAM + END,)]},
            RouteKind.STREAM,
            resumable=False,
            max_attempts=1,
        )
        assert response.started
        assert not response.ended
        assert len(components.connections.sent) == 1

    async def test_a_stream_that_breaks_before_its_first_event_fails_clearly(self):
        """Guards against an empty answer that looks like a success."""
        response, _ = await handle_request(
            {"a": [(STREAM, RESET)]}, RouteKind.STREAM, resumable=False
        )
        assert response.status == 502


class TestRejections:
    async def test_nothing_is_rejected_before_the_first_configuration(self):
        """Guards against "no such route" from a router that knows no routes."""
        components = make_components()
        request = ClientRequest(b"GET", b"/", [(b"id", b"1")], b"", 0, True)
        response = RecordedResponse()
        await RequestHandler(components, Log(components.clock, "n")).handle(
            request, response
        )
        assert response.status == 503

    async def test_clients_return_spread_over_seconds_to_a_restarted_fleet(self):
        """Guards against clients that use up their retries while the store is away."""
        components = make_components()
        request = ClientRequest(b"GET", b"/", [(b"id", b"1")], b"", 0, True)
        handler = RequestHandler(components, Log(components.clock, "n"))
        waits = []
        for _ in range(50):
            response = RecordedResponse()
            await handler.handle(request, response)
            waits.append(int(response.headers.split(b": ")[1]))
        assert min(waits) >= NOT_READY_RETRY_AFTER_MS
        assert max(waits) - min(waits) > NOT_READY_RETRY_JITTER_MS / 2

    @pytest.mark.parametrize(
        ("age_ms", "status"), [(0, 404), (FRESH_CONFIGURATION_MS + 1, 503)]
    )
    async def test_an_old_configuration_rejects_nothing(self, age_ms, status):
        """Guards against rejecting a route that was added during an outage."""
        clock = ManualClock(1_000_000)
        components = make_components({}, clock)
        narrow = route(path_prefix="/other/")
        components.configuration.update(configuration(narrow), clock.now_ms())
        clock.advance(age_ms)
        response, _ = await handle_request({}, components=components)
        assert response.status == status

    async def test_an_unknown_key_is_rejected(self):
        """Guards against requests of accounts that have lost their key."""
        components = make_components({"a": [(OK,)]})
        components.configuration.update(configuration(keys=("other",)), 1_000_000)
        response, _ = await handle_request({"a": 0}, components=components)
        assert response.status == 401
        assert components.connections.sent == []

    async def test_a_request_that_crashes_servers_is_refused(self):
        """Guards against a fourth server lost to the same request."""
        components = make_components({"a": [(OK,)]})
        fingerprint = request_fingerprint(b"POST", b"/plan/1", "planners", b"body")
        for number in range(MAX_STRIKES):
            components.crash_guard.add_strike(fingerprint, f"lost-{number}")
        response, _ = await handle_request({"a": 0}, components=components)
        assert response.status == 503
        assert components.connections.sent == []
