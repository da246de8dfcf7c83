"""Errors that no other code handles, written to the log.

Without this, the interpreter, asyncio and the libraries write them to standard error as
text.
"""

import logging
import sys
import threading
import traceback
from asyncio import AbstractEventLoop
from types import TracebackType

from medlarridge._internal.errors import UserError

from .logs import LIBRARY_WARNING, START_FAILED, UNEXPECTED_ERROR, Log

MAX_FRAMES = 12
"""Innermost frames of a traceback that are logged."""

MAX_DETAIL = 2_000
"""Characters of an error's text that are logged."""


class ErrorReports(logging.Handler):
    """Writes errors to a log at once, as the process may end next."""

    def __init__(self, log: Log) -> None:
        super().__init__()
        self.log = log

    def install(self, loop: AbstractEventLoop | None = None) -> None:
        """Take the errors of the process and of an event loop from now on."""
        sys.excepthook = self.report_uncaught
        sys.unraisablehook = self.report_unraisable
        threading.excepthook = self.report_thread
        logging.root.handlers = [self]
        logging.captureWarnings(True)
        if loop is not None:
            loop.set_exception_handler(self.report_context)

    def report(self, message: str, error: BaseException | None) -> None:
        """Log an unexpected error, with the place where it was raised."""
        self.log.request_event(UNEXPECTED_ERROR, **describe(message, error))
        self.log.flush()

    def report_start_failure(self, error: UserError) -> None:
        """Log an error that the user can mend."""
        self.log.event(
            START_FAILED,
            error=printable(error),
            cause=printable(error.cause),
            hint=printable(error.hint),
        )
        self.log.flush()

    def report_uncaught(
        self,
        error_type: type[BaseException],
        error: BaseException,
        trace: TracebackType | None,
    ) -> None:
        """Log the error that ends the process, whatever was logged before."""
        self.log.event(UNEXPECTED_ERROR, **describe("the process ends", error))
        self.log.flush()

    def report_unraisable(self, unraisable: "sys.UnraisableHookArgs") -> None:
        """Log an error that could not be raised, such as one of a finalizer."""
        self.report(
            unraisable.err_msg or "error that could not be raised",
            unraisable.exc_value,
        )

    def report_thread(self, arguments: "threading.ExceptHookArgs") -> None:
        """Log the error that ended a thread."""
        self.report("a thread has ended", arguments.exc_value)

    def report_context(self, loop: AbstractEventLoop, context: dict) -> None:
        """Log an error of a callback, task or connection of the event loop."""
        self.report(context.get("message", ""), context.get("exception"))

    def emit(self, record: logging.LogRecord) -> None:
        """Log a message of a library, or a warning of the interpreter."""
        if record.exc_info is not None and record.exc_info[1] is not None:
            self.report(record.getMessage(), record.exc_info[1])
            return
        self.log.request_event(
            LIBRARY_WARNING,
            library=record.name,
            detail=printable(record.getMessage()),
        )
        self.log.flush()


def describe(message: str, error: BaseException | None) -> dict[str, object]:
    """Return the fields of the log line of an error."""
    if error is None:
        return {"message": printable(message)}
    return {
        "message": printable(message),
        "error": type(error).__name__,
        "detail": printable(error),
        "at": innermost_frames(error.__traceback__),
    }


def innermost_frames(trace: TracebackType | None) -> list[str]:
    """Return file, line and function of the innermost frames of a traceback."""
    frames = traceback.StackSummary.extract(
        traceback.walk_tb(trace), limit=-MAX_FRAMES, lookup_lines=False
    )
    return [
        printable(f"{frame.filename}:{frame.lineno} {frame.name}") for frame in frames
    ]


def printable(value: object) -> str:
    """Return the text of a value, in characters that a log line can hold."""
    text = str(value)[:MAX_DETAIL]
    return text.encode(errors="backslashreplace").decode()
