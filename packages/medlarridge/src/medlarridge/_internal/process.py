"""Life cycle of a daemon: start, signals, graceful shutdown."""

import signal
from typing import Protocol

import anyio

from .events import register
from .log import configure_logging, log_event
from .metrics import ProcessMetrics
from .node import Node
from .settings import ProcessSettings

STARTED = register(5100, "INFO", "process started")
STOPPING = register(5101, "INFO", "shutdown started, waiting for work in flight")
STOPPED = register(5102, "INFO", "process stopped")
ABORTED = register(5103, "WARNING", "shutdown forced by a second signal")


class Daemon(Protocol):
    """The servers of a router or sidecar."""

    metrics: ProcessMetrics

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set and all work in flight has ended."""
        ...


async def run_process(settings: ProcessSettings, node: Node, daemon: Daemon) -> None:
    """Run a daemon until a signal; a second signal ends it immediately."""
    configure_logging(settings.log.level, settings.log.json_lines)
    stop = anyio.Event()
    daemon.metrics.observe_node(node.cluster)
    async with anyio.create_task_group() as tasks:
        await tasks.start(node.run)
        log_event(
            STARTED,
            role=node.instance.role,
            link=node.instance.address,
            instance=node.instance.number,
            data_centre=node.instance.data_centre,
        )

        async def run_daemon() -> None:
            await daemon.run(stop)
            tasks.cancel_scope.cancel()

        async def watch_signals() -> None:
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for number in signals:
                    if stop.is_set():
                        log_event(ABORTED, signal=number.name)
                        tasks.cancel_scope.cancel()
                        return
                    log_event(STOPPING, signal=number.name)
                    stop.set()
                    tasks.start_soon(node.cluster.set_self, True)

        tasks.start_soon(watch_signals)
        tasks.start_soon(run_daemon)
    log_event(STOPPED, link=node.instance.address)
