"""Clients of the soak: they keep connections, check each answer and note what they saw."""

import asyncio
import hashlib
from dataclasses import dataclass, field
from random import Random

import h11

from medlarridge_platform import names

from .engine_process import body_of, event_count, event_of
from .http_peer import HttpPeer, PeerClosed
from .processes import steady_s

CONNECT_S = 1.0
PROMISES = (408, 421, 429, 503)
"""Statuses that promise that the request did not run and never will."""


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request."""

    prefix: str
    method: bytes
    deadline_ms: int
    stream: bool
    repeatable: bool


KINDS = (
    Kind("/talk/", b"POST", 6_000, stream=True, repeatable=True),
    Kind("/story/", b"POST", 6_000, stream=True, repeatable=False),
    Kind("/order/", b"POST", 1_500, stream=False, repeatable=False),
    Kind("/read/", b"GET", 1_500, stream=False, repeatable=True),
)


@dataclass(slots=True)
class Sent:
    """One request, and what its client saw of the answer."""

    request_id: str
    router: int
    kind: Kind
    method: bytes
    target: str
    body: bytes
    account: str
    prompt: str
    sent_s: float
    kept: bool
    ended_s: float = 0.0
    status: int = 0
    complete: bool = False
    left: bool = False
    owed: bool = True
    lost: str = ""
    violations: list[str] = field(default_factory=list)

    @property
    def body_digest(self) -> str:
        """Return the digest that servers report of the body."""
        return hashlib.sha256(self.body).hexdigest()


class Client:
    """One client with at most one connection, which it uses as long as it can."""

    def __init__(self, name: str, random: Random, history: list[Sent]) -> None:
        self.name = name
        self.random = random
        self.history = history
        self.peer: HttpPeer | None = None
        self.router = -1
        self.count = 0

    async def request(
        self,
        router: int,
        address: tuple[str, int],
        kind: Kind,
        key: str,
        account: str,
        leave_after_s: float | None = None,
        prefix: str | None = None,
    ) -> Sent:
        """Send one request to a router, on the kept connection if it leads there."""
        self.count += 1
        request_id = f"{self.name}-{self.count:04d}"
        session = self.random.randrange(6)
        prompt = f"aa{session % 2}:300,bb{session}:900,{request_id}:40"
        sent = Sent(
            request_id=request_id,
            router=router,
            kind=kind,
            method=kind.method,
            target=f"{prefix or kind.prefix}{session}?n={self.count}",
            body=b"x" * self.random.randrange(400) if kind.method == b"POST" else b"",
            account=account,
            prompt=prompt if kind.stream else "",
            sent_s=steady_s(),
            kept=self.peer is not None and self.router == router,
        )
        self.history.append(sent)
        try:
            async with asyncio.timeout(kind.deadline_ms / 1000 + 2):
                await self.exchange(sent, address, key, leave_after_s)
        except TimeoutError:
            sent.lost = "no answer at the deadline"
        except (PeerClosed, OSError) as error:
            sent.lost = sent.lost or f"connection lost: {error}"
        except h11.RemoteProtocolError as error:
            sent.lost = f"answer broke off: {error}"
            sent.violations.append(f"MIXED: bytes are no answer: {error}")
        sent.ended_s = steady_s()
        if not sent.complete or sent.left:
            self.drop()
        return sent

    def drop(self) -> None:
        """Close the connection."""
        if self.peer is not None:
            self.peer.writer.close()
            self.peer = None

    async def exchange(
        self,
        sent: Sent,
        address: tuple[str, int],
        key: str,
        leave_after_s: float | None,
    ) -> None:
        """Send the request and read its answer."""
        if not sent.kept:
            self.drop()
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(*address)
            self.peer, self.router = HttpPeer(reader, writer, h11.CLIENT), sent.router
        peer = self.peer
        assert peer is not None
        if peer.state.trailing_data[0]:
            sent.violations.append("MIXED: bytes came with no request waiting")
        await peer.send(
            h11.Request(
                method=sent.method,
                target=sent.target.encode(),
                headers=self.headers(sent, key),
            ),
            h11.Data(sent.body),
            h11.EndOfMessage(),
        )
        try:
            async with asyncio.timeout(leave_after_s):
                await self.read_answer(peer, sent)
        except TimeoutError:
            if leave_after_s is None:
                raise
            sent.left = True

    def headers(self, sent: Sent, key: str) -> list:
        """Return the headers of a request."""
        headers = [
            (b"Host", b"soak.example"),
            (b"X-Medlarridge-Request-Id", sent.request_id.encode()),
            (b"X-Medlarridge-Deadline-Ms", b"%d" % sent.kind.deadline_ms),
            (b"Authorization", b"Bearer " + key.encode()),
            # What a client says of these is not to reach a server.
            (b"X-Medlarridge-Tenant", b"somebody-else"),
        ]
        if sent.body:
            headers.append((b"Content-Length", b"%d" % len(sent.body)))
        elif sent.method == b"POST":
            headers.append((b"Content-Length", b"0"))
        if sent.prompt:
            headers += [
                (b"X-Medlarridge-Model", b"m"),
                (b"X-Medlarridge-Token-Usage", b"1240,80"),
                (b"X-Medlarridge-Prompt-Prefix", sent.prompt.encode()),
            ]
        return headers

    async def read_answer(self, peer: HttpPeer, sent: Sent) -> None:
        """Read an answer and check that it is the request's own and whole."""
        head = await peer.next_event()
        if not isinstance(head, h11.Response):
            raise PeerClosed("closed before the answer")
        sent.status = head.status_code
        body = bytearray()
        while not isinstance(part := await peer.next_event(), h11.EndOfMessage):
            if not isinstance(part, h11.Data):
                raise PeerClosed("closed within the answer")
            body += part.data
            self.check_part(sent, bytes(body))
        sent.complete = True
        self.check_whole(sent, dict(head.headers), bytes(body))
        if peer.state.our_state is h11.DONE and peer.state.their_state is h11.DONE:
            peer.state.start_next_cycle()
        else:
            self.drop()

    def expected_body(self, sent: Sent) -> bytes:
        """Return the body of a successful answer."""
        if not sent.kind.stream:
            return body_of(sent.request_id)
        events = range(1, event_count(sent.request_id) + 1)
        return b"".join(event_of(sent.request_id, number) for number in events)

    def check_part(self, sent: Sent, body: bytes) -> None:
        """Check what has come so far of a successful answer."""
        if sent.status == 200 and not self.expected_body(sent).startswith(body):
            rule = "ORDER" if sent.kind.stream else "MIXED"
            sent.violations.append(f"{rule}: body differs from the server's")

    def check_whole(self, sent: Sent, headers: dict, body: bytes) -> None:
        """Check a whole answer."""
        if headers.get(names.REQUEST_ID, b"").decode() not in ("", sent.request_id):
            sent.violations.append("MIXED: answer to another request")
        if sent.status != 200:
            return
        if names.SIGNATURE not in headers:
            sent.violations.append("MIXED: success without a signature")
        if body != self.expected_body(sent):
            sent.violations.append("MIXED: success is not whole but looks so")
