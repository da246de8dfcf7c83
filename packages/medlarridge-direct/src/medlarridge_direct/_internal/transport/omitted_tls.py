"""A stand-in for the module ``ssl``, in a process that speaks no TLS.

uvloop imports ``ssl``, which loads OpenSSL: 4 MB of memory and a tenth of the processor
time of a start. The platform's links carry plain HTTP, and the router opens no TLS
connection. The stand-in has the names that uvloop and asyncio look up when they are
imported; each other use of it is an ``AttributeError``. What is imported later, such as
prometheus_client for the first page of metrics, finds the real module.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType

ERROR_NAMES = (
    "CertificateError",
    "SSLError",
    "SSLCertVerificationError",
    "SSLSyscallError",
    "SSLWantReadError",
    "SSLWantWriteError",
    "SSLZeroReturnError",
)
CLASS_NAMES = ("MemoryBIO", "SSLContext", "SSLObject", "create_default_context")
ERROR_NUMBERS = {
    "SSL_ERROR_WANT_READ": 2,
    "SSL_ERROR_WANT_WRITE": 3,
    "SSL_ERROR_SYSCALL": 5,
}


@contextmanager
def omit_tls() -> Iterator[None]:
    """Let imports of ``ssl`` inside the block find the stand-in.

    A module that is loaded already stays.
    """
    if "ssl" in sys.modules:
        yield
        return
    sys.modules["ssl"] = create_stand_in()
    try:
        yield
    finally:
        del sys.modules["ssl"]


def create_stand_in() -> ModuleType:
    """Return a module that has the names which the importing libraries look up."""
    module = ModuleType("ssl", "Stand-in for a module that this process does not use.")
    for name in ERROR_NAMES:
        setattr(module, name, type(name, (OSError,), {}))
    for name in CLASS_NAMES:
        setattr(module, name, type(name, (), {}))
    for name, number in ERROR_NUMBERS.items():
        setattr(module, name, number)
    return module
