"""Show where a request would be sent."""

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
        """Query the operator endpoint of the router."""
        settings = load_settings(self.settings, RouterSettings)
        response = query_operator(
            settings,
            "/explain",
            {"route": self.route, "chat": self.chat, "account": self.account},
        )
        if "error" in response:
            print_error(str(response["error"]))
            return ExitStatus.FAILED
        print(f"generation {response['generation']}, route {self.route}")
        for pool in response["pools"]:
            print(f"  pool {pool['pool']}: {pool['reason']}")
            for position, member in enumerate(pool["members"], 1):
                print(f"    {position}. {member['address']} in {member['data_centre']}")
        return ExitStatus.OK
