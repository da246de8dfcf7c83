"""Show the metrics of a running router."""

import asyncio
from dataclasses import dataclass
from pathlib import Path

import cappa

from medlarridge._internal.command_line import ExitStatus

from .._internal.settings import load_settings
from .._internal.transport.http_client import HttpClient

CALL_TIMEOUT_MS = 3_000
"""A router answers in milliseconds; longer means that it is stuck or away."""


@cappa.command(name="status")
@dataclass
class Status:
    """Print what a running router believes and counts."""

    settings: Path

    def __call__(self) -> ExitStatus:
        """Ask the router whose settings file is given."""
        settings = load_settings(self.settings)
        client = HttpClient(settings.ip, settings.listen.metrics_port)
        page = asyncio.run(client.get(b"/metrics", CALL_TIMEOUT_MS)) or b""
        lines = page.decode().splitlines()
        print("\n".join(line for line in lines if not line.startswith("#")))
        return ExitStatus.OK
