"""Ask a running router to which server it would send a request."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from medlarridge._internal.command_line import ExitStatus
from medlarridge._internal.errors import UserError

from .._internal.explanation import EXPLAIN_PATH, ExplainRequest, Explanation
from .._internal.settings import load_settings
from .._internal.transport.http_client import HttpClient
from .._internal.transport.http_connection import STATUS_OK

CALL_TIMEOUT_MS = 3_000
"""A running router responds within milliseconds unless it hangs or is unreachable."""


@cappa.command(name="explain")
@dataclass
class Explain:
    """Show to which server a request would be sent now, and why, without sending it."""

    settings: Path
    host: str
    path: str
    account: Annotated[str, cappa.Arg(long=True, help="name of the client account")] = (
        ""
    )
    prompt: Annotated[
        str, cappa.Arg(long=True, help="parts of the prompt: ID:TOKENS,ID:TOKENS")
    ] = ""

    def __call__(self) -> ExitStatus:
        """Query the router that uses the given settings file."""
        settings = load_settings(self.settings)
        request = ExplainRequest(
            self.host, self.path, self.account, parse_prompt(self.prompt)
        )
        client = HttpClient(settings.ip, settings.listen.metrics_port)
        body = msgspec.json.encode(request)
        response = asyncio.run(
            client.call(b"POST", EXPLAIN_PATH, body, CALL_TIMEOUT_MS)
        )
        if response.status != STATUS_OK:
            raise UserError(
                "the router returned no explanation",
                cause=f"HTTP status {response.status}",
            )
        print_explanation(msgspec.json.decode(response.body, type=Explanation))
        return ExitStatus.OK


def parse_prompt(text: str) -> list[tuple[str, int]]:
    """Parse the parts of a prompt from the command line."""
    prompt = []
    for entry in filter(None, text.split(",")):
        part_id, _, tokens = entry.strip().rpartition(":")
        if not part_id or not tokens.isdigit():
            raise UserError(
                "invalid prompt", cause=f"{entry!r} does not have the form ID:TOKENS"
            )
        prompt.append((part_id, int(tokens)))
    return prompt


def print_explanation(explanation: Explanation) -> None:
    """Print an explanation with one line for each candidate."""
    print(explanation.outcome)
    if explanation.route:
        print(f"route {explanation.route}, pool {explanation.pool}")
        print(f"decided by: {explanation.decided_by}")
    print(
        f"configuration {explanation.configuration}, "
        f"confirmed {explanation.configuration_age_ms} ms ago; "
        f"server list {explanation.list_revision}, "
        f"confirmed {explanation.list_age_ms} ms ago"
    )
    for candidate in explanation.candidates:
        notes = [
            note
            for note, applies in (
                ("over the load limit", candidate.over_limit),
                ("unreachable", not candidate.reachable),
                ("failing", candidate.failing),
            )
            if applies
        ]
        print(
            f"  {candidate.server} {candidate.address} {candidate.data_centre}: "
            f"load {candidate.load} of {explanation.load_limit}, "
            f"holds {candidate.held_tokens} tokens"
            + "".join(f", {note}" for note in notes)
        )
