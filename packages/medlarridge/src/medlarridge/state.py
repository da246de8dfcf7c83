"""Object store interface, its implementations and the parts that use the store."""

from ._internal.coordination.acceptance import Acceptor
from ._internal.state.audit import AuditEntry, AuditTrail
from ._internal.state.confirmed_put import put_confirmed
from ._internal.state.lease_manager import LeaseManager
from ._internal.state.ledger_runner import Ledger
from ._internal.state.memory import MemoryStore, StoreFault
from ._internal.state.order_journal import OrderJournal
from ._internal.state.platform import PlatformStore
from ._internal.state.step_executor import execute_step
from ._internal.state.store import ObjectName, ObjectStore, StoredObject
from ._internal.state.suspect_store import SuspectStore

__all__ = [
    "Acceptor",
    "AuditEntry",
    "AuditTrail",
    "LeaseManager",
    "Ledger",
    "MemoryStore",
    "ObjectName",
    "ObjectStore",
    "OrderJournal",
    "PlatformStore",
    "StoreFault",
    "StoredObject",
    "SuspectStore",
    "execute_step",
    "put_confirmed",
]
