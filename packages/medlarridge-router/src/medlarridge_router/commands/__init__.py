"""Commands of the router binary."""

from .apply import Apply
from .check import Check
from .get import Get
from .history import History
from .undo import Undo

COMMANDS = {
    "apply": Apply,
    "check": Check,
    "get": Get,
    "history": History,
    "undo": Undo,
}
"""Commands by name; calling a parsed command returns its exit status."""
