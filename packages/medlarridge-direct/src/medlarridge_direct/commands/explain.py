"""Ask a running router which server a request would get."""

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
from .._internal.transport.exchange import STATUS_OK
from .._internal.transport.http_client import HttpClient

CALL_TIMEOUT_MS = 3_000
"""A router answers in milliseconds; longer means that it is stuck or away."""


@cappa.command(name="explain")
@dataclass
class Explain:
    """Say which server a request would get now, and why; nothing is sent to it."""

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
        """Ask the router whose settings file is given."""
        settings = load_settings(self.settings)
        question = ExplainRequest(
            self.host, self.path, self.account, read_parts(self.prompt)
        )
        client = HttpClient(settings.ip, settings.listen.metrics_port)
        body = msgspec.json.encode(question)
        status, answer = asyncio.run(
            client.call(b"POST", EXPLAIN_PATH, body, CALL_TIMEOUT_MS)
        )
        if status != STATUS_OK:
            raise UserError("the router does not explain", cause=f"status {status}")
        print_explanation(msgspec.json.decode(answer, type=Explanation))
        return ExitStatus.OK


def read_parts(text: str) -> list[tuple[str, int]]:
    """Return the parts of a prompt as they are given on the command line."""
    parts = []
    for entry in filter(None, text.split(",")):
        part, _, tokens = entry.strip().rpartition(":")
        if not part or not tokens.isdigit():
            raise UserError(
                "the prompt is not valid", cause=f"{entry!r} is not ID:TOKENS"
            )
        parts.append((part, int(tokens)))
    return parts


def print_explanation(explanation: Explanation) -> None:
    """Print an explanation, one line for each server."""
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
    for each in explanation.candidates:
        notes = [
            note
            for note, holds in (
                ("over the load limit", each.over_limit),
                ("unreachable", not each.reachable),
                ("failing", each.failing),
            )
            if holds
        ]
        print(
            f"  {each.server} {each.address} {each.data_centre}: load {each.load} "
            f"of {explanation.load_limit}, holds {each.held_tokens} tokens"
            + "".join(f", {note}" for note in notes)
        )
