"""Inputs and actions of membership."""

from dataclasses import dataclass
from enum import StrEnum

from ..protocol.gossip import ExchangeRequest, GossipMessage

LEAVING = "leaving"


@dataclass(frozen=True)
class ListedVm:
    """Entry of the platform's VM list for one process, with its ``ip:port`` address."""

    address: str
    data_centre: str = ""
    region: str = ""
    role: str = ""
    state: str = "live"

    @property
    def leaving(self) -> bool:
        """Return whether the platform is removing the VM."""
        return self.state == LEAVING


class Observation(StrEnum):
    """Result of a request to a member, as seen by the data path."""

    ANSWERED = "answered"
    REFUSED = "refused"
    DRAINING = "draining"


@dataclass(frozen=True)
class Send:
    """Send a datagram."""

    address: str
    message: GossipMessage


@dataclass(frozen=True)
class Fetch:
    """Send a request over the exchange and pass the reply to ``receive_reply``."""

    address: str
    request: ExchangeRequest


@dataclass(frozen=True)
class NewerGeneration:
    """A peer has a newer configuration."""

    address: str
    generation: int


Action = Send | Fetch | NewerGeneration
