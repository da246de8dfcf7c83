"""Accept queue of the client address, opened before the rest of the router is loaded.

Clients that connect while a router starts wait in the queue instead of being refused.
This module is imported first, so it imports little itself.
"""

import socket

from medlarridge._internal.clock import Clock

LISTEN_BACKLOG = 512
"""Length of the accept queue; a burst opens a few hundred connections at once."""

ACCEPT_MARGIN_MS = 50
"""Time after the first accept in which connections may still come from the queue; one
turn of a busy event loop takes some ten milliseconds."""


class AcceptQueue:
    """A listening socket from which nothing is accepted yet.

    When the clients in the queue sent their requests is unknown. All of them count as
    received when the queue was opened, so that no server is given more time than the
    client still waits.
    """

    def __init__(self, address: tuple[str, int], clock: Clock) -> None:
        self.address = address
        self.clock = clock
        self.opened_ms = clock.now_ms()
        self.accepting_since_ms: int | None = None
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.socket.bind(address)
            self.socket.listen(LISTEN_BACKLOG)
        except OSError:
            self.socket.close()
            raise

    def begin_accepting(self) -> socket.socket:
        """Hand the socket over to the event loop."""
        self.accepting_since_ms = self.clock.now_ms()
        return self.socket

    def waiting_since_ms(self) -> int | None:
        """Return since when a connection accepted now may have waited, if it has."""
        if self.accepting_since_ms is None:
            return None
        if self.clock.now_ms() > self.accepting_since_ms + ACCEPT_MARGIN_MS:
            return None
        return self.opened_ms

    def close(self) -> None:
        """Close the socket; clients in the queue are refused."""
        self.socket.close()


def open_accept_queue(endpoint: str, clock: Clock) -> AcceptQueue | None:
    """Open the queue of an endpoint, or return None if that fails.

    The router then opens the address itself and reports the error.
    """
    host, _, port = endpoint.rpartition(":")
    try:
        return AcceptQueue((host, int(port)), clock)
    except (OSError, ValueError):
        return None
