"""What servers say of themselves in the heads of their responses."""

from msgspec import Struct


class ServerNotice(Struct, frozen=True):
    """What one response says of its server.

    ``limit_per_s`` is the number of requests a second that the server takes from all
    routers together, None if it names no limit. ``rest_ms`` is the time for which it
    wants no request from this router, 0 if it asks for none. A ``leaving`` server takes
    no new request. ``malformed`` are values that could not be read; they say nothing.
    """

    limit_per_s: float | None = None
    rest_ms: int = 0
    leaving: bool = False
    malformed: tuple[str, ...] = ()
    limit_malformed: bool = False


NO_NOTICE = ServerNotice()


class LimitStatement(Struct, frozen=True):
    """A limit that a server stated, or that it has none (``per_s`` is None).

    It was stated between ``asked_ms``, when the request was sent, and ``heard_ms``,
    when the response arrived, both on the clock of the router that keeps it.
    """

    per_s: float | None
    asked_ms: int
    heard_ms: int
