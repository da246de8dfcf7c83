"""Responses that a server sends once more, to the request after the one they answered.

The server of these tests, "a", has answered an earlier request on the connection. There
is another one, "b", to which a request goes that did not run at "a".
"""

import pytest

from medlarridge import TransportError
from medlarridge_direct._internal.attempt import Attempt
from medlarridge_direct._internal.attempt_outcome import OutcomeKind
from medlarridge_direct._internal.coordination.server_health import UNNAMED_MEMORY_MS
from medlarridge_direct._internal.protocol.configuration import RouteKind
from medlarridge_direct._internal.protocol.requests import (
    ClientRequest,
    ForwardingMetadata,
)
from medlarridge_direct._internal.send_permits import Permit

from .samples import server
from .scripted import kept, kept_connection, make_components
from .test_request_run import END, OK, STREAM, handle_request, sent_to, stream_event

pytestmark = pytest.mark.anyio

EMPTY = b"Content-Length: 0\r\n\r\n"
SHED = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
REPEATED = {
    "503": SHED + EMPTY,
    "503 of a chunked body": SHED + b"Transfer-Encoding: chunked\r\n\r\n" + END,
    "429": b"HTTP/1.1 429 Slow\r\nNot-Executed: 1\r\n" + EMPTY,
    "421": b"HTTP/1.1 421 Elsewhere\r\n" + EMPTY,
    "421 not executed": b"HTTP/1.1 421 Elsewhere\r\nNot-Executed: 1\r\n" + EMPTY,
    "400 not executed": b"HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\n" + EMPTY,
    "408": b"HTTP/1.1 408 Late\r\nNot-Executed: 1\r\n" + EMPTY,
    "404": b"HTTP/1.1 404 None\r\nSignature: s\r\n" + EMPTY,
    "500": b"HTTP/1.1 500 Error\r\nSignature: s\r\nContent-Length: 4\r\n\r\noops",
    "200": b"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold",
    "204": b"HTTP/1.1 204 None\r\nSignature: s\r\n\r\n",
    "200 after 100": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold",
}
ROUTES = {
    "at most once": (RouteKind.AT_MOST_ONCE, False),
    "idempotent": (RouteKind.IDEMPOTENT, False),
    "stream": (RouteKind.STREAM, False),
    "resumable stream": (RouteKind.STREAM, True),
}
EVENTS = stream_event(1) + stream_event(2)
EVENT_BYTES = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"


def answer_of(route):
    """Return the real response on a route and its body."""
    if ROUTES[route][0] is RouteKind.STREAM:
        return STREAM + EVENTS + END, EVENT_BYTES
    return OK, b"ok"


async def request(route, scripts, **changes):
    """Send a request whose first server answers from a script; return the outcome."""
    kind, resumable = ROUTES[route]
    scripts = {"b": [(answer_of(route)[0],)]} | scripts
    components = make_components(scripts)
    components.load.begin_attempt("b")
    response, _ = await handle_request(
        scripts, kind, components=components, resumable=resumable, **changes
    )
    return response, components


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("repeated", REPEATED.values(), ids=REPEATED)
class TestBeforeTheAnswer:
    async def test_a_response_without_an_id_is_nobodys(self, route, repeated):
        """Guards against "not run" for a request that runs, and another's response."""
        answer, body = answer_of(route)
        response, components = await request(route, {"a": [kept(repeated, answer)]})
        assert sent_to(components) == ["a"]
        assert (response.status, bytes(response.body)) == (200, body)
        assert response.ended
        assert components.connections.released == [("a", False)]

    async def test_a_response_in_pieces_is_nobodys(self, route, repeated):
        """Guards against a head whose parts are judged one by one."""
        answer, body = answer_of(route)
        pieces = [bytes([each]) for each in repeated + answer]
        response, components = await request(route, {"a": [kept(*pieces)]})
        assert sent_to(components) == ["a"]
        assert (response.status, bytes(response.body)) == (200, body)


class TestBeforeTheAnswerToHead:
    @pytest.mark.parametrize("status", ["503", "429", "421", "204"])
    async def test_a_response_without_an_id_is_nobodys(self, status):
        """Guards against an error in place of the head that the client asked for."""
        answer = OK.removesuffix(b"ok")
        response, components = await request(
            "idempotent", {"a": [kept(REPEATED[status], answer)]}, method=b"HEAD"
        )
        assert sent_to(components) == ["a"]
        assert (response.status, response.content_length) == (200, 2)


class TestWhatARepeatedResponseSays:
    @pytest.mark.parametrize("header", [b"Rest: 900", b"Limit: 1", b"Leaving: 1"])
    async def test_it_says_nothing_of_its_server(self, header):
        """Guards against rest or a limit that a server has asked for long ago."""
        repeated = SHED + header + b"\r\n" + EMPTY
        _, components = await request("at most once", {"a": [kept(repeated, OK)]})
        entry = components.servers.by_instance["a"]
        assert components.notices.accepts(entry.start)
        assert components.notices.limit_per_s(entry.start) is None

    @pytest.mark.parametrize("status", ["421", "500"])
    async def test_it_does_not_count_against_its_server(self, status):
        """Guards against a server that is avoided for an answer to another request."""
        _, components = await request(
            "at most once", {"a": [kept(REPEATED[status], OK)]}
        )
        health = components.health.servers["a"]
        assert (health.failed_share, health.unreachable) == (0, False)

    async def test_a_permit_is_in_use_until_the_answer(self):
        """Guards against a limit that is exceeded while a request is on its way."""
        ends = []
        components = make_components({"a": [kept(REPEATED["503"])]})
        outcome = await attempt(components, Permit(server("a"), 2_000_000, ends.append))
        assert (outcome.kind, ends) == (OutcomeKind.SILENT, [])


async def attempt(components, permit):
    """Send a request to server "a", which does not answer; return the outcome."""
    sent = ClientRequest(b"POST", b"/plan/1", [(b"id", b"1")], b"body", 1_000_000, True)
    with Attempt(
        components, permit.server, sent, "1", 7, 5, False, permit=permit
    ) as sending:
        return await sending.start(ForwardingMetadata("a", 20, None), 20, 20)


class TestServersWithoutIds:
    """Responses that name no request and are to the one in flight."""

    async def test_a_refusal_on_a_new_connection_is_about_the_request(self):
        """Guards against giving up a request that did not run."""
        response, components = await request("at most once", {"a": [(SHED + EMPTY,)]})
        assert sent_to(components) == ["a", "b"]
        assert response.status == 200

    async def test_a_response_without_an_id_ends_its_connection(self):
        """Guards against a connection on which the next response proves nothing."""
        answer = OK.replace(b"Id: 1\r\n", b"")
        response, components = await request("at most once", {"a": [(answer,)]})
        assert (response.status, bytes(response.body)) == (200, b"ok")
        assert components.connections.released == [("a", False)]

    @pytest.mark.parametrize("repeated", REPEATED.values(), ids=REPEATED)
    async def test_a_response_that_nothing_follows_may_be_to_the_request(
        self, repeated
    ):
        """Guards against "not run" without proof, and against a wait until the
        deadline, after which the status would be 504."""
        response, components = await request(
            "at most once", {"a": [kept(repeated)]}, objective_ms=1
        )
        assert sent_to(components) == ["a"]
        assert response.status == 502

    @pytest.mark.parametrize("route", ["idempotent", "resumable stream"])
    async def test_a_request_that_may_run_again_goes_to_another_server(self, route):
        """Guards against an error for a request that could be repeated."""
        response, components = await request(
            route, {"a": [kept(REPEATED["503"])]}, objective_ms=1, gap_ms=1
        )
        assert sent_to(components) == ["a", "b"]
        assert (response.status, response.ended) == (200, True)

    async def test_the_next_request_gets_a_new_connection(self):
        """Guards against a server each of whose refusals costs a request its time."""
        components = make_components({"a": [kept(REPEATED["503"]), kept(OK)]})
        permit = Permit(server("a"), 2_000_000, None)
        await attempt(components, permit)
        outcome = await attempt(components, permit)
        assert components.connections.opened == ["a"]
        components.clock.advance(UNNAMED_MEMORY_MS)
        assert components.health.names_requests("a")
        assert outcome.kind is OutcomeKind.RESPONSE

    async def test_a_server_that_names_requests_is_reused(self):
        """Guards against a new connection for each request."""
        _, components = await request("at most once", {"a": [kept(OK)]})
        assert components.connections.opened == []
        assert components.connections.released == [("a", True)]


class TestAfterTheAnswer:
    @pytest.mark.parametrize("route", ROUTES)
    @pytest.mark.parametrize("repeated", REPEATED.values(), ids=REPEATED)
    async def test_the_answer_is_delivered_and_the_connection_ends(
        self, route, repeated
    ):
        """Guards against a repeated response that spoils the one before or after it."""
        answer, body = answer_of(route)
        response, components = await request(route, {"a": [kept(answer + repeated)]})
        assert sent_to(components) == ["a"]
        assert (response.status, bytes(response.body)) == (200, body)
        assert components.connections.released == [("a", False)]

    @pytest.mark.parametrize("repeated", REPEATED.values(), ids=REPEATED)
    async def test_inside_chunks_it_breaks_the_response(self, repeated):
        """Guards against a response with another one inside that looks whole."""
        script = kept(STREAM + stream_event(1), repeated, stream_event(2) + END)
        response, components = await request("stream", {"a": [script]})
        assert sent_to(components) == ["a"]
        assert EVENT_BYTES.startswith(bytes(response.body))
        assert not response.ended


class TestBetweenRequests:
    @pytest.mark.parametrize("repeated", REPEATED.values(), ids=REPEATED)
    async def test_a_response_while_nothing_is_asked_ends_the_connection(
        self, repeated
    ):
        """Guards against a response that waits for the next request."""
        connection = kept_connection()
        connection.data_received(repeated)
        assert connection.transport.aborted
        with pytest.raises(TransportError):
            connection.start(b"GET / HTTP/1.1\r\n\r\n")


class TestObservability:
    async def test_a_discarded_response_is_counted(self):
        """Guards against a faulty server that no log and no metric shows."""
        other = SHED + b"Id: 0\r\n" + EMPTY
        _, components = await request("at most once", {"a": [kept(other, OK)]})
        assert components.metrics.discarded == {("models", "another request"): 1}
