"""All kinds of runs; importing their modules registers them."""

from . import fault_run, refusal_run, stop_run, take_up_run
from .run import SCENARIOS

__all__ = ["SCENARIOS", "fault_run", "refusal_run", "stop_run", "take_up_run"]
