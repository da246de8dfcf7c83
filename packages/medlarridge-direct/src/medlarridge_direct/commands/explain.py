"""Ask a running router to which server it would send a request."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from medlarridge._internal.command_line import ExitStatus
from medlarridge._internal.errors import UserError

from .._internal.explanation import (
    EXPLAIN_PATH,
    Candidate,
    ExplainRequest,
    Explanation,
    LeftOutServer,
)
from .._internal.explanation_registry import Facts
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
    usage: Annotated[
        str, cappa.Arg(long=True, help="tokens of the prompt and output: PROMPT,MAX")
    ] = ""
    body_bytes: Annotated[int, cappa.Arg(long=True, help="size of the body")] = 0
    deadline_ms: Annotated[
        int | None, cappa.Arg(long=True, help="time that the client waits")
    ] = None
    resumes: Annotated[
        str | None, cappa.Arg(long=True, help="request that began a stream")
    ] = None
    resume_after: Annotated[
        str | None, cappa.Arg(long=True, help="last event that the client has")
    ] = None
    json: Annotated[bool, cappa.Arg(long=True, help="print the whole as JSON")] = False

    def __call__(self) -> ExitStatus:
        """Query the router that uses the given settings file."""
        settings = load_settings(self.settings)
        client = HttpClient(settings.ip, settings.listen.metrics_port)
        body = msgspec.json.encode(self.request())
        response = asyncio.run(
            client.call(b"POST", EXPLAIN_PATH, body, CALL_TIMEOUT_MS)
        )
        if response.status != STATUS_OK:
            raise UserError(
                "the router returned no explanation",
                cause=f"HTTP status {response.status}",
            )
        if self.json:
            print(msgspec.json.format(response.body, indent=2).decode())
        else:
            print_explanation(msgspec.json.decode(response.body, type=Explanation))
        return ExitStatus.OK

    def request(self) -> ExplainRequest:
        """Return the request that is explained.

        A stream is taken up if the request that began it, or its last event, is given.
        """
        prompt_tokens, max_output_tokens = parse_usage(self.usage)
        resume_after = self.resume_after
        if resume_after is None and self.resumes is not None:
            resume_after = ""
        return ExplainRequest(
            host=self.host,
            path=self.path,
            account=self.account,
            prompt=parse_prompt(self.prompt),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            body_bytes=self.body_bytes,
            deadline_ms=self.deadline_ms,
            resumes=self.resumes,
            resume_after=resume_after,
        )


def parse_usage(text: str) -> tuple[int, int]:
    """Parse the tokens of the prompt and of the longest output."""
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    if not prompt.isdigit() or not output.isdigit():
        raise UserError(
            "invalid usage", cause=f"{text!r} does not have the form PROMPT,MAX"
        )
    return int(prompt), int(output)


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
    """Print an explanation with one line for each server."""
    print(explanation.outcome)
    if explanation.retry_after_ms is not None:
        print(f"the client may return after {explanation.retry_after_ms} ms")
    if explanation.route:
        print(f"route {explanation.route}, pool {explanation.pool}")
        print(f"decided by: {explanation.decided_by}")
    if explanation.facts:
        print("request: " + ", ".join(format_facts(explanation.facts)))
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
        details = [
            f"load {candidate.load} of {explanation.load_limit}",
            f"holds {candidate.held_tokens} tokens",
            *notes,
            *format_facts(candidate.facts),
        ]
        print_server(candidate, ", ".join(details))
    for left_out in explanation.left_out:
        print_server(left_out, "left out: " + ", ".join(left_out.reasons))


def print_server(server: Candidate | LeftOutServer, details: str) -> None:
    """Print a line on a server."""
    print(f"  {server.server} {server.address} {server.data_centre}: {details}")


def format_facts(facts: Facts) -> list[str]:
    """Return facts as log lines have them, a true one as its name."""
    return [
        name if value is True else f"{name}={value}" for name, value in facts.items()
    ]
