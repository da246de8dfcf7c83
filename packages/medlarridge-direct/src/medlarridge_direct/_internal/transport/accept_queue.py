"""Accept queue of the client address, opened before the rest of the router is loaded.

Clients that connect while a router starts wait in the queue instead of being refused.
This module is imported first, so it imports little itself.
"""

import socket
from typing import TYPE_CHECKING

from medlarridge._internal.clock import MS_PER_S, Clock

if TYPE_CHECKING:
    import asyncio

LISTEN_BACKLOG = 512
"""Length of the accept queue; a burst opens a few hundred connections at once."""

ACCEPT_MARGIN_MS = 50
"""Delay of the timer that ends the queue. The event loop accepts all that wait in one
turn, however long that takes, and runs the timer in a later one."""


class AcceptQueue:
    """A listening socket from which nothing is accepted yet.

    When the clients in the queue sent their requests is unknown. All of them count as
    received when the queue was opened, so that no server is given more time than the
    client still waits.
    """

    def __init__(self, address: tuple[str, int], clock: Clock) -> None:
        self.address = address
        self.opened_ms = clock.now_ms()
        self.is_accepting = False
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.socket.bind(address)
            self.socket.listen(LISTEN_BACKLOG)
        except OSError:
            self.socket.close()
            raise

    def begin_accepting(self, loop: "asyncio.AbstractEventLoop") -> socket.socket:
        """Hand the socket over to the event loop, which accepts what waits."""
        self.is_accepting = True
        loop.call_later(ACCEPT_MARGIN_MS / MS_PER_S, self.end_accepting)
        return self.socket

    def end_accepting(self) -> None:
        """Take connections that are accepted from now on for new ones."""
        self.is_accepting = False

    def waiting_since_ms(self) -> int | None:
        """Return since when a connection accepted now may have waited, if it has."""
        return self.opened_ms if self.is_accepting else None

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
