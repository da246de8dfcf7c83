"""Show the metrics of a running router."""

import asyncio
from dataclasses import dataclass
from pathlib import Path

import cappa

from medlarridge._internal.command_line import ExitStatus

from .._internal.settings import load_settings
from .._internal.transport.http_client import HttpClient

CALL_TIMEOUT_MS = 3_000
"""A running router responds within milliseconds unless it hangs or is unreachable."""


@cappa.command(name="status")
@dataclass
class Status:
    """Print the metrics of a running router."""

    settings: Path

    def __call__(self) -> ExitStatus:
        """Query the router that uses the given settings file."""
        settings = load_settings(self.settings)
        client = HttpClient(settings.ip, settings.listen.metrics_port)
        metrics = asyncio.run(client.get(b"/metrics", CALL_TIMEOUT_MS)).body
        lines = metrics.decode().splitlines()
        print("\n".join(line for line in lines if not line.startswith("#")))
        return ExitStatus.OK
