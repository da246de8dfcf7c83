"""Object store interface, its implementations, and the parts that use it."""

from ._internal.coordination.acceptance import Acceptor
from ._internal.state.audit import AuditEntry, AuditTrail
from ._internal.state.confirm import put_confirmed
from ._internal.state.lease_exchange import LeaseKeeper
from ._internal.state.ledger_exchange import Ledger
from ._internal.state.memory import MemoryStore, StoreFault
from ._internal.state.orders_exchange import OrderJournal
from ._internal.state.perform import perform
from ._internal.state.platform import PlatformStore
from ._internal.state.store import ObjectName, ObjectStore, StoredObject
from ._internal.state.suspects_exchange import SuspectStore

__all__ = [
    "Acceptor",
    "AuditEntry",
    "AuditTrail",
    "LeaseKeeper",
    "Ledger",
    "MemoryStore",
    "ObjectName",
    "ObjectStore",
    "OrderJournal",
    "PlatformStore",
    "StoreFault",
    "StoredObject",
    "SuspectStore",
    "perform",
    "put_confirmed",
]
