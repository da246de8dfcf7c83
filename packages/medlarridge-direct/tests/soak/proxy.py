"""TCP proxies on the loopback that impair the connections they forward."""

import asyncio
from enum import StrEnum

from .http_connection import reset

READ_BYTES = 65_536
DELAY_S = 0.15


class Impairment(StrEnum):
    """Impairment that a proxy applies to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    CUT_TO_SERVER = "cut-to-server"
    CUT_TO_CLIENT = "cut-to-client"


DROPPED_DIRECTIONS = {
    Impairment.SILENT: ("up", "down"),
    Impairment.CUT_TO_SERVER: ("up",),
    Impairment.CUT_TO_CLIENT: ("down",),
}
"""Directions whose bytes an impairment discards; "up" is towards the target."""


class EndOfStream(Exception):
    """One side closed its connection without an error."""


class Proxy:
    """Forwards connections from a listening address to a target address."""

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.listen = listen
        self.target = target
        self.impairment = Impairment.NONE
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self.forward_connection, *self.listen)

    def set_impairment(self, impairment: Impairment) -> None:
        """Apply an impairment to existing and new connections."""
        self.impairment = impairment
        if impairment is Impairment.RESET:
            for writer in list(self.writers):
                writer.transport.abort()

    async def forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until either side ends it."""
        if self.impairment is Impairment.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        endpoints = {writer, target_writer}
        self.writers |= endpoints
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.forward(reader, target_writer, "up"))
                group.create_task(self.forward(target_reader, writer, "down"))
        except* EndOfStream:
            for endpoint in endpoints:
                endpoint.close()
        except* OSError:
            for endpoint in endpoints:
                reset(endpoint)
        except* asyncio.CancelledError:
            # Cancelled at the end of the run; asyncio streams would log the error.
            pass
        finally:
            self.writers -= endpoints

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        """Forward one direction.

        After discarded bytes, the rest of a stream is useless and is discarded as well.
        """
        dropping = False
        while data := await reader.read(READ_BYTES):
            dropping = dropping or direction in DROPPED_DIRECTIONS.get(
                self.impairment, ()
            )
            if dropping:
                continue
            if self.impairment is Impairment.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        if dropping or direction in DROPPED_DIRECTIONS.get(self.impairment, ()):
            # Discard the end of the stream too: the other side must not see a close.
            await asyncio.sleep(3600)
        # Half-closed connections are not forwarded; none of the programs uses them.
        raise EndOfStream

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
