"""Commands of the direct router."""

from .check import Check
from .explain import Explain
from .status import Status

COMMANDS = {"check": Check, "explain": Explain, "status": Status}
"""Command classes by name; calling a parsed command returns its exit status."""
