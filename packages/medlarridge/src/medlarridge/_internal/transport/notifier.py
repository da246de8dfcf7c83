"""Notification of waiting tasks in the same process."""

import anyio

from ..clock import MS_PER_S


class Notifier:
    """Wakes all tasks that wait for the next change."""

    def __init__(self) -> None:
        self.event = anyio.Event()

    def notify_all(self) -> None:
        """Wake all tasks that are waiting."""
        self.event.set()
        self.event = anyio.Event()

    async def wait(self, timeout_ms: int | None = None) -> bool:
        """Wait for the next change; return False on a timeout."""
        event = self.event
        if timeout_ms is None:
            await event.wait()
            return True
        with anyio.move_on_after(max(timeout_ms, 0) / MS_PER_S):
            await event.wait()
            return True
        return event.is_set()
