"""Coordination library of the medlarridge router fleet.

This module exports the clocks, the identity of a process and the errors. The parts
are in ``medlarridge.coordination``, ``medlarridge.state``, ``medlarridge.protocol``
and ``medlarridge.transport``.
"""

from ._internal.clock import Clock, ManualClock, SystemClock, WallClock
from ._internal.errors import (
    CodecError,
    MedlarridgeError,
    StoreError,
    StoreErrorKind,
    TransportError,
    UserError,
)
from ._internal.identity import Instance, Member, Role, new_instance_number

__version__ = "0.1.0"

__all__ = [
    "Clock",
    "CodecError",
    "Instance",
    "ManualClock",
    "MedlarridgeError",
    "Member",
    "Role",
    "StoreError",
    "StoreErrorKind",
    "SystemClock",
    "TransportError",
    "UserError",
    "WallClock",
    "new_instance_number",
]
