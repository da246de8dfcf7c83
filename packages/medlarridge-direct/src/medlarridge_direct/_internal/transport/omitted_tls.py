"""A stand-in for the module ``ssl``, in a process that speaks no TLS.

uvloop imports ``ssl``, which loads OpenSSL: 4 MB of memory and a tenth of the processor
time of a start. The platform's links carry plain HTTP, and the router opens no TLS
connection. The stand-in has the names that uvloop and asyncio look up when they are
imported; each other use of the module is an ``AttributeError``.
"""

import sys
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


def omit_tls() -> None:
    """Let imports of ``ssl`` find the stand-in, unless the module is loaded already."""
    module = ModuleType("ssl", "Stand-in for a module that this process does not use.")
    for name in ERROR_NAMES:
        setattr(module, name, type(name, (OSError,), {}))
    for name in CLASS_NAMES:
        setattr(module, name, type(name, (), {}))
    for name, number in ERROR_NUMBERS.items():
        setattr(module, name, number)
    sys.modules.setdefault("ssl", module)
