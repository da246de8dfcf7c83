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
    CERTAIN_MS,
    UNPREPARED_MS,
    UNPREPARED_SPREAD_MS,
    RequestHandler,
)
from medlarridge_direct._internal.server_choice import rank_servers

from .samples import configuration, listing, prompt, route, server
from .scripted import CLOSE, REFUSE, RESET, make_parts

pytestmark = pytest.mark.anyio

OK = b"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok"
SHED = b"HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
MISDIRECTED = b"HTTP/1.1 421 Elsewhere\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
BARE_503 = b"HTTP/1.1 503 Busy\r\nId: 1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Error\r\nId: 1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
ERROR_BODY = (
    b"HTTP/1.1 500 Error\r\nId: 1\r\nSignature: s\r\nContent-Length: 4\r\n\r\noops"
)
UNSIGNED = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"
STREAM = (
    b"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"


def event(number):
    data = b"id: %d\ndata: x\n\n" % number
    return b"%x\r\n%b\r\n" % (len(data), data)


class Answer:
    """Records what a client gets."""

    def __init__(self):
        self.started = self.ended = False
        self.status = None
        self.headers = b""
        self.body = bytearray()
        self.length = None

    def begin(self, status, reason, headers, content_length):
        self.started = True
        self.status, self.headers, self.length = status, headers, content_length

    async def write(self, data):
        self.body += data

    def end(self):
        self.ended = True

    def send(self, status, headers, body):
        self.begin(status, b"", headers, len(body))
        self.body += body
        self.ended = True


async def play(scripts, kind=RouteKind.IDEMPOTENT, headers=(), parts=None, **changes):
    """Send one request to servers with scripts; return the answer and the parts."""
    parts = parts or make_parts(scripts)
    if parts.configuration.current is None:
        parts.configuration.update(configuration(route(kind, **changes)), 1_000_000)
    pool = [server(name, port=8000 + i) for i, name in enumerate(sorted(scripts))]
    parts.servers.update(listing(*pool), 1_000_000)
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
        received_ms=parts.clock.now_ms(),
        keep_alive=True,
    )
    answer = Answer()
    await RequestHandler(parts, Log(parts.clock, "node")).handle(request, answer)
    return answer, parts


def sent_to(parts):
    return [instance for instance, _ in parts.connections.sent]


class TestRepeats:
    @pytest.mark.parametrize(
        "first", [(RESET,), (CLOSE,), (OK[:-1], RESET), (UNSIGNED,)]
    )
    async def test_an_idempotent_request_runs_elsewhere(self, first):
        """Guards against failures that another server would have answered."""
        scripts = {"a": [first], "b": [(OK,)]}
        parts = make_parts(scripts)
        parts.load.begin_attempt("b")
        answer, _ = await play(scripts, parts=parts)
        assert sent_to(parts) == ["a", "b"]
        assert (answer.status, bytes(answer.body)) == (200, b"ok")

    @pytest.mark.parametrize("kind", [RouteKind.AT_MOST_ONCE, RouteKind.STREAM])
    @pytest.mark.parametrize("script", [(RESET,), (CLOSE,), (OK[:-1], RESET)])
    async def test_what_may_have_run_never_runs_again(self, kind, script):
        """Guards against an invoice that is sent twice."""
        scripts = {"a": [script], "b": [script]}
        answer, parts = await play(scripts, kind, resumable=False)
        assert len(parts.connections.sent) == 1
        assert answer.status == 502 or not answer.ended

    @pytest.mark.parametrize("first", [REFUSE, (SHED,)])
    async def test_what_did_not_run_is_sent_elsewhere(self, first):
        """Guards against refusals while other servers are free."""
        parts = make_parts({"a": [first], "b": [(OK,)]})
        parts.load.begin_attempt("b")
        answer, _ = await play({"a": 0, "b": 0}, RouteKind.AT_MOST_ONCE, parts=parts)
        assert answer.status == 200

    async def test_attempts_stay_within_the_route(self):
        """Guards against more runs than the operator allows."""
        scripts = {name: [(RESET,)] for name in "abcd"}
        _, parts = await play(scripts, max_attempts=2)
        assert len(parts.connections.sent) == 2

    async def test_what_reached_no_server_costs_no_retry(self):
        """Guards against a budget spent on servers that accept no connection."""
        scripts = {"a": [REFUSE], "b": [(OK,)]}
        parts = make_parts(scripts)
        parts.load.begin_attempt("b")
        while parts.budget.take("models"):
            pass
        answer, _ = await play(scripts, parts=parts)
        assert answer.status == 200

    async def test_an_empty_budget_ends_the_retries(self):
        """Guards against retries that add to an overload."""
        scripts = {name: [(SHED,)] for name in "abc"}
        parts = make_parts(scripts)
        while parts.budget.take("models"):
            pass
        answer, _ = await play(scripts, parts=parts)
        assert len(parts.connections.sent) == 1
        assert answer.status == 503


class TestLoadBound:
    async def test_servers_that_are_silent_here_count_in_the_mean(self):
        """Guards against more load than the bound while one server gets no work."""
        parts = make_parts()
        pool = [server(f"s-{n}", port=8000 + n) for n in range(5)]
        parts.servers.update(listing(*pool), 1_000_000)
        for each in ("s-1", "s-2", "s-3"):
            for _ in range(4):
                parts.load.begin_attempt(each)
        for _ in range(8):
            parts.load.begin_attempt("s-0")
        parts.placement.cache_index.record_prompt(prompt(), "s-0")
        chosen = rank_servers(parts, Pool("models", 0), prompt())[0]
        assert chosen.instance == "s-0"
        for _ in range(3):
            parts.load.begin_attempt("s-0")
        parts.health.record_sent("s-4")
        parts.clock.advance(SILENCE_TIMEOUT_MS + 1)
        ranked = rank_servers(parts, Pool("models", 0), prompt())
        assert "s-4" not in [each.instance for each in ranked]
        assert ranked[0].instance != "s-0"

    async def test_servers_that_drain_count_in_the_mean(self):
        """Guards against more load than the bound while a release goes on."""
        parts = make_parts()
        pool = [server(f"s-{n}", port=8000 + n) for n in range(4)]
        leaving = server("s-4", port=8004, state=ServerState.DRAINING)
        parts.servers.update(listing(*pool, leaving), 1_000_000)
        for each in ("s-1", "s-2", "s-3"):
            for _ in range(4):
                parts.load.begin_attempt(each)
        for _ in range(11):
            parts.load.begin_attempt("s-0")
        parts.placement.cache_index.record_prompt(prompt(), "s-0")
        ranked = rank_servers(parts, Pool("models", 0), prompt())
        assert ranked[0].instance != "s-0"
        assert "s-4" not in [each.instance for each in ranked]


class TestReplacedServers:
    async def test_a_server_that_is_no_longer_at_its_address_is_asked_once(self):
        """Guards against retries spent on an entry that outlived its server."""
        parts = make_parts({"a": [(MISDIRECTED,)], "b": [(OK,)] * 9})
        parts.load.begin_attempt("b")
        for _ in range(5):
            answer, _ = await play(
                {"a": 0, "b": 0}, RouteKind.AT_MOST_ONCE, parts=parts
            )
            assert answer.status == 200
            parts.clock.advance(500)
        assert sent_to(parts).count("a") == 1


class TestTruth:
    async def test_a_promise_is_given_only_if_nothing_ran(self):
        """Guards against "not run" for a request that may have run."""
        refused, _ = await play({"a": [(SHED,)]}, RouteKind.AT_MOST_ONCE)
        assert refused.status == 503
        assert b"retry-after-ms: 0" not in refused.headers
        unknown, _ = await play({"a": [(BARE_503,)]}, RouteKind.AT_MOST_ONCE)
        assert unknown.status == 502

    async def test_an_unsigned_success_is_not_passed_on(self):
        """Guards against bytes that are not the server's answer."""
        answer, _ = await play({"a": [(UNSIGNED,)]}, RouteKind.AT_MOST_ONCE)
        assert answer.status == 502

    async def test_a_servers_own_failure_is_passed_on(self):
        """Guards against hiding the outcome of a request that ran."""
        answer, _ = await play({"a": [(ERROR,)]}, RouteKind.AT_MOST_ONCE)
        assert (answer.status, answer.headers) == (500, b"signature: s\r\n")

    async def test_the_deadline_passed_on_is_what_is_left(self):
        """Guards against servers that work for clients that have given up."""
        clock = ManualClock(1_000_000)
        parts = make_parts({"a": [(OK,)]}, clock)
        await play({"a": 0}, headers=[(b"deadline", b"700")], parts=parts)
        assert b"deadline: 700\r\n" in parts.connections.sent[0][1].written

    async def test_a_cut_small_answer_is_not_begun(self):
        """Guards against a cut connection where a clear failure could be sent."""
        answer, _ = await play({"a": [(OK[:-1], CLOSE)]}, RouteKind.AT_MOST_ONCE)
        assert (answer.status, answer.ended) == (502, True)


class TestStreams:
    async def test_a_resumable_stream_goes_on_elsewhere(self):
        """Guards against streams that end with their server."""
        half = event(3)[:8]
        scripts = {"a": [(STREAM + event(1) + event(2) + half, RESET)], "b": []}
        scripts["b"] = [(STREAM + event(2) + event(3) + END,)]
        parts = make_parts(scripts)
        parts.load.begin_attempt("b")
        answer, _ = await play(
            scripts, RouteKind.STREAM, parts=parts, resumable=True, gap_ms=400
        )
        assert bytes(answer.body) == b"".join(
            b"id: %d\ndata: x\n\n" % number for number in (1, 2, 3)
        )
        assert answer.ended
        assert b"resume: 2\r\n" in parts.connections.sent[1][1].written

    @pytest.mark.parametrize("second", [(ERROR_BODY,), (UNSIGNED,), (SHED,)])
    async def test_a_failure_on_resuming_is_not_part_of_the_stream(self, second):
        """Guards against bytes of another answer inside a stream."""
        parts = make_parts({"a": [(STREAM + event(1), RESET)], "b": [second]})
        parts.load.begin_attempt("b")
        answer, _ = await play(
            {"a": 0, "b": 0}, RouteKind.STREAM, parts=parts, resumable=True
        )
        assert bytes(answer.body) == b"id: 1\ndata: x\n\n"
        assert not answer.ended

    async def test_another_stream_is_cut_and_not_ended(self):
        """Guards against a cut stream that looks complete."""
        answer, parts = await play(
            {"a": [(STREAM + event(1), RESET), (STREAM + END,)]},
            RouteKind.STREAM,
            resumable=False,
            max_attempts=1,
        )
        assert answer.started
        assert not answer.ended
        assert len(parts.connections.sent) == 1

    async def test_a_stream_that_breaks_before_its_first_event_fails_clearly(self):
        """Guards against an empty answer that looks like a success."""
        answer, _ = await play(
            {"a": [(STREAM, RESET)]}, RouteKind.STREAM, resumable=False
        )
        assert answer.status == 502


class TestRejections:
    async def test_nothing_is_rejected_before_the_first_configuration(self):
        """Guards against "no such route" from a router that knows no routes."""
        parts = make_parts()
        request = ClientRequest(b"GET", b"/", [(b"id", b"1")], b"", 0, True)
        answer = Answer()
        await RequestHandler(parts, Log(parts.clock, "n")).handle(request, answer)
        assert answer.status == 503

    async def test_clients_return_spread_over_seconds_to_a_restarted_fleet(self):
        """Guards against clients that use up their retries while the store is away."""
        parts = make_parts()
        request = ClientRequest(b"GET", b"/", [(b"id", b"1")], b"", 0, True)
        handler = RequestHandler(parts, Log(parts.clock, "n"))
        waits = []
        for _ in range(50):
            answer = Answer()
            await handler.handle(request, answer)
            waits.append(int(answer.headers.split(b": ")[1]))
        assert min(waits) >= UNPREPARED_MS
        assert max(waits) - min(waits) > UNPREPARED_SPREAD_MS / 2

    @pytest.mark.parametrize(("age_ms", "status"), [(0, 404), (CERTAIN_MS + 1, 503)])
    async def test_an_old_configuration_rejects_nothing(self, age_ms, status):
        """Guards against rejecting a route that was added during an outage."""
        clock = ManualClock(1_000_000)
        parts = make_parts({}, clock)
        narrow = route(path_prefix="/other/")
        parts.configuration.update(configuration(narrow), clock.now_ms())
        clock.advance(age_ms)
        answer, _ = await play({}, parts=parts)
        assert answer.status == status

    async def test_an_unknown_key_is_rejected(self):
        """Guards against requests of accounts that have lost their key."""
        parts = make_parts({"a": [(OK,)]})
        parts.configuration.update(configuration(keys=("other",)), 1_000_000)
        answer, _ = await play({"a": 0}, parts=parts)
        assert answer.status == 401
        assert parts.connections.sent == []

    async def test_a_request_that_crashes_servers_is_refused(self):
        """Guards against a fourth server lost to the same request."""
        parts = make_parts({"a": [(OK,)]})
        fingerprint = request_fingerprint(b"POST", b"/plan/1", "planners", b"body")
        for number in range(MAX_STRIKES):
            parts.guard.add_strike(fingerprint, f"lost-{number}")
        answer, _ = await play({"a": 0}, parts=parts)
        assert answer.status == 503
        assert parts.connections.sent == []
