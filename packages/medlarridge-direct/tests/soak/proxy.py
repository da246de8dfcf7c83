"""Proxies on the loopback that harm the connections they carry."""

import asyncio
from enum import StrEnum

READ_BYTES = 65_536
DELAY_S = 0.15


class Harm(StrEnum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    CUT_TO_SERVER = "cut-to-server"
    CUT_TO_CLIENT = "cut-to-client"


SWALLOWS = {
    Harm.SILENT: ("up", "down"),
    Harm.CUT_TO_SERVER: ("up",),
    Harm.CUT_TO_CLIENT: ("down",),
}
"""Directions of which each harm loses the bytes; up leads to the server."""


class OrderlyEnd(Exception):
    """One side has closed its connection."""


class Proxy:
    """Listens at one address and connects to another."""

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.listen = listen
        self.target = target
        self.harm = Harm.NONE
        self.carried: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        self.server = await asyncio.start_server(self.carry, *self.listen)

    def set_harm(self, harm: Harm) -> None:
        """Harm the connections that exist and those that come."""
        self.harm = harm
        if harm is Harm.RESET:
            for writer in list(self.carried):
                writer.transport.abort()

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection until either side ends it."""
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, to_writer}
        self.carried |= ends
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.pump(reader, to_writer, "up"))
                group.create_task(self.pump(to_reader, writer, "down"))
        except* OrderlyEnd:
            for end in ends:
                end.close()
        except* OSError:
            for end in ends:
                end.transport.abort()
        except* asyncio.CancelledError:
            # The run ends; its streams must not report the cancelled task.
            pass
        finally:
            self.carried -= ends

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str
    ) -> None:
        """Pass on one direction; lost bytes make the rest of it useless too."""
        swallowing = False
        while data := await reader.read(READ_BYTES):
            swallowing = swallowing or way in SWALLOWS.get(self.harm, ())
            if swallowing:
                continue
            if self.harm is Harm.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        if swallowing or way in SWALLOWS.get(self.harm, ()):
            # The end of a connection is lost like its bytes.
            await asyncio.sleep(3600)
        # A side that closes may still read, but these programs never wait for that.
        raise OrderlyEnd

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.carried):
            writer.transport.abort()
