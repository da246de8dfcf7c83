"""Logs which servers become cold and which no longer are."""

from .coordination.cold_servers import ColdServers
from .logs import SERVER_COLD, SERVER_WARM, Log


class ColdServerLog:
    """Logs each change of the cold servers once."""

    def __init__(self, cold_servers: ColdServers, log: Log) -> None:
        self.cold_servers = cold_servers
        self.log = log
        self.logged: set[str] = set()

    def update(self) -> None:
        """Log what has changed since the last call."""
        cold = self.cold_servers.cold()
        for start in cold.keys() - self.logged:
            self.log.event(
                SERVER_COLD,
                server=start,
                left_ms=cold[start],
                sources=self.cold_servers.sources(start),
                limit_per_s=self.cold_servers.limit_per_s(start),
            )
        for start in self.logged - cold.keys():
            self.log.event(SERVER_WARM, server=start)
        self.logged = set(cold)
