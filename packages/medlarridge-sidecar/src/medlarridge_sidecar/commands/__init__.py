"""Commands of the sidecar binary."""

from .check import Check
from .serve import Serve
from .status import Status
from .version import Version

COMMANDS = {
    "serve": Serve,
    "check": Check,
    "status": Status,
    "version": Version,
}
"""Commands by name; calling a parsed command returns its exit status."""
