"""Public API for what an adapter does before it loads the rest of the router."""

from medlarridge._internal.clock import SystemClock

from ._internal.transport.accept_queue import AcceptQueue, open_accept_queue
from ._internal.transport.omitted_tls import omit_tls

__all__ = ["AcceptQueue", "SystemClock", "omit_tls", "open_accept_queue"]
