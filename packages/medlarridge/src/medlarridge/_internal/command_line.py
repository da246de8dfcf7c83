"""Exit statuses, error messages and operator queries of the command lines."""

import sys
from collections.abc import Mapping
from enum import IntEnum
from typing import Any, Protocol

import cappa
import httpx
import msgspec

from .errors import MedlarridgeError, UserError
from .log import configure_logging
from .settings import ProcessSettings
from .transport.auth import SharedKey

OPERATOR_TIMEOUT_S = 5


class ExitStatus(IntEnum):
    """Exit status of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3


def print_error(message: str, cause: str = "", hint: str = "") -> None:
    """Write an error with its cause and a hint to standard error."""
    lines = [f"error: {message}"]
    lines += [f"cause: {cause}"] if cause else []
    lines += [f"hint: {hint}"] if hint else []
    sys.stderr.write("\n".join(lines) + "\n")


class CommandLine(Protocol):
    """A parsed command line with one subcommand."""

    command: Any


def run_command(line: type[CommandLine]) -> None:
    """Parse the arguments, run the subcommand and exit with its status."""
    configure_logging("WARNING")
    try:
        status = cappa.parse(line).command()
    except UserError as error:
        print_error(error.message, error.cause, error.hint)
        status = ExitStatus.USAGE
    except MedlarridgeError as error:
        print_error(str(error))
        status = ExitStatus.FAILED
    sys.exit(status)


def query_operator(
    settings: ProcessSettings, path: str, query: Mapping[str, str]
) -> dict[str, Any]:
    """Return the response of a running process at its operator endpoint."""
    key = SharedKey(settings.shared_key.get_secret_value())
    try:
        response = httpx.get(
            f"http://{settings.operator}{path}",
            params=dict(query),
            headers=key.headers(),
            timeout=OPERATOR_TIMEOUT_S,
            trust_env=False,
        )
    except httpx.TransportError as error:
        raise UserError(
            f"no process responds at {settings.operator}",
            cause=str(error),
            hint="start it with `serve` and the same settings file",
            step="query operator endpoint",
            peer=settings.operator,
        ) from error
    return msgspec.json.decode(response.content, type=dict[str, Any])


def print_status(settings: ProcessSettings) -> ExitStatus:
    """Print the state of a running process as JSON."""
    state = query_operator(settings, "/status", {})
    print(msgspec.json.format(msgspec.json.encode(state)).decode())
    return ExitStatus.FAILED if "error" in state else ExitStatus.OK
