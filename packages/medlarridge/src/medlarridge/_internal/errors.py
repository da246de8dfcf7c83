"""Errors of the library and the binaries."""

from enum import StrEnum

import msgspec


class MedlarridgeError(Exception):
    """Base of all errors raised by the project.

    ``step`` names the operation that failed and ``peer`` the process or object
    at the other end.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = ", ".join(
            f"{name} {value}"
            for name, value in (("step", self.step), ("peer", self.peer))
            if value
        )
        return f"{self.message} ({where})" if where else self.message


class UserError(MedlarridgeError):
    """Error that the user can fix, with a cause and a hint."""

    def __init__(
        self,
        message: str,
        *,
        cause: str = "",
        hint: str = "",
        step: str = "",
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.cause = cause
        self.hint = hint


class CodecError(MedlarridgeError):
    """A message could not be decoded."""


class TransportError(MedlarridgeError):
    """Communication with another process failed."""


class StoreErrorKind(StrEnum):
    """Kind of a failed call to the object store."""

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    AMBIGUOUS = "ambiguous"
    RATE_LIMITED = "rate_limited"
    TOO_LARGE = "too_large"


class StoreError(msgspec.Struct, frozen=True):
    """A failed call to the object store.

    ``UNAVAILABLE`` means that the call had no effect, ``AMBIGUOUS`` that it may have
    had one.
    """

    kind: StoreErrorKind
    step: str
    peer: str
    detail: str = ""
