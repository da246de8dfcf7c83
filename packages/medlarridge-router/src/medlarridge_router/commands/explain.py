"""Show where a chat would go."""

from dataclasses import dataclass
from pathlib import Path

import cappa

from medlarridge._internal.command_line import ExitStatus, print_error, query_operator
from medlarridge._internal.settings import RouterSettings, load_settings


@cappa.command(name="explain", default_long=True)
@dataclass
class Explain:
    """Show which pools and servers a running router would try, and why."""

    settings: Path
    route: str
    chat: str = ""
    account: str = "anonymous"

    def __call__(self) -> ExitStatus:
        """Ask the router's operator endpoint."""
        settings = load_settings(self.settings, RouterSettings)
        answer = query_operator(
            settings,
            "/explain",
            {"route": self.route, "chat": self.chat, "account": self.account},
        )
        if "error" in answer:
            print_error(str(answer["error"]))
            return ExitStatus.FAILED
        print(f"generation {answer['generation']}, route {self.route}")
        for pool in answer["pools"]:
            print(f"  pool {pool['pool']}: {pool['reason']}")
            for place, member in enumerate(pool["members"], 1):
                print(f"    {place}. {member['address']} in {member['data_centre']}")
        return ExitStatus.OK
