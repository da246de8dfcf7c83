"""Run one simulated component as a process."""

from dataclasses import dataclass

import anyio
import cappa

from .engine import EngineSettings
from .platform import PlatformSettings
from .service import ServiceSettings


@cappa.command(name="medlarridge-standins")
@dataclass
class Standins:
    """Simulated versions of the systems around the router fleet."""

    standin: cappa.Subcommands[PlatformSettings | EngineSettings | ServiceSettings]


def main() -> None:
    """Run the component that the command line selects."""
    anyio.run(cappa.parse(Standins).standin.run)


if __name__ == "__main__":
    main()
