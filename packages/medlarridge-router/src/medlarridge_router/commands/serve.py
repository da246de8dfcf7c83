"""Run the router."""

from dataclasses import dataclass
from pathlib import Path

import anyio
import cappa

from medlarridge._internal.command_line import ExitStatus
from medlarridge._internal.identity import Role
from medlarridge._internal.node import Node, NodeIdentity
from medlarridge._internal.process import run_process
from medlarridge._internal.settings import RouterSettings, load_settings

from .._internal.daemon import RouterDaemon


@cappa.command(name="serve")
@dataclass
class Serve:
    """Run the router until it receives a stop signal."""

    settings: Path

    def __call__(self) -> ExitStatus:
        """Load the settings and run the daemon."""
        settings = load_settings(self.settings, RouterSettings)
        node = Node(settings, NodeIdentity(Role.ROUTER))
        daemon = RouterDaemon(settings, node)
        anyio.run(run_process, settings, node, daemon)
        return ExitStatus.OK
