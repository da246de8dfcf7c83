"""Commands of the direct router."""

from .check import Check
from .status import Status

COMMANDS = {"check": Check, "status": Status}
"""Commands by name; calling a parsed command returns its exit status."""
