"""All kinds of runs; importing their modules registers them."""

from . import fault_run, stop_run
from .run import SCENARIOS

__all__ = ["SCENARIOS", "fault_run", "stop_run"]
