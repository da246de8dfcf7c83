"""UDP datagrams between routers."""

import asyncio
from collections.abc import Callable

Address = tuple[str, int]


class DatagramSocket(asyncio.DatagramProtocol):
    """UDP socket of a router."""

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport | None = None
        self.errors = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.on_datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        # A stopped peer causes port-unreachable errors; its missing reports reveal it.
        self.errors += 1

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram without a guarantee of delivery."""
        if self.transport is not None:
            self.transport.sendto(data, address)
