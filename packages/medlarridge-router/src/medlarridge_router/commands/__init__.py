"""Commands of the router binary."""

from .apply import Apply
from .check import Check
from .explain import Explain
from .get import Get
from .history import History
from .serve import Serve
from .status import Status
from .undo import Undo
from .version import Version

COMMANDS = {
    "serve": Serve,
    "check": Check,
    "apply": Apply,
    "get": Get,
    "history": History,
    "undo": Undo,
    "explain": Explain,
    "status": Status,
    "version": Version,
}
"""Commands by name; calling a parsed command returns its exit status."""
