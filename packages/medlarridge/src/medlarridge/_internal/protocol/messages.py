"""Messages between routers and sidecars."""

from enum import StrEnum

import msgspec

from ..identity import Instance


class Outcome(StrEnum):
    """What is known about a request that has ended."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Refusal(StrEnum):
    """Reason why a sidecar refused an attempt."""

    WRONG_INSTANCE = "wrong-instance"
    STALE_CONFIGURATION = "stale-configuration"
    UNKNOWN_POOL = "unknown-pool"
    DUPLICATE = "duplicate"
    DRAINING = "draining"
    LOAD_BOUND = "load-bound"
    ACCOUNT_LIMIT = "account-limit"
    DEADLINE = "deadline"
    CRASHES_SERVERS = "crashes-servers"
    CRASH_SUSPECT = "crash-suspect"
    LEDGER_UNAVAILABLE = "ledger-unavailable"
    SERVER_UNREACHABLE = "server-unreachable"
    INVALID = "invalid"


Headers = list[tuple[str, str]]


class Attempt(msgspec.Struct, tag="attempt", omit_defaults=True):
    """One try of a request at one sidecar.

    ``deadline_ms`` is a remaining time, because the clocks of VMs differ.
    """

    request_id: str
    number: int
    target: int
    route: str
    pool: str
    generation: int
    account: str
    method: str
    path: str
    deadline_ms: int
    headers: Headers = []
    body: bytes = b""
    chat: str = ""
    region: str = ""
    priority: int = 0
    repeatable: bool = False
    idempotency_key: str = ""
    fingerprint: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    import_from: str = ""
    ranked: list[str] = []


class Candidate(msgspec.Struct, frozen=True, array_like=True):
    """A sidecar that is likely to accept a refused attempt."""

    address: str
    number: int
    warm: bool = False


class Accepted(msgspec.Struct, tag="accepted"):
    """The attempt is running or queued at the sidecar."""

    instance: Instance


class ResponseHead(msgspec.Struct, tag="head"):
    """Status and headers of the backend server's response."""

    status: int
    headers: Headers


class Chunk(msgspec.Struct, tag="chunk"):
    """A piece of the response body; numbers are consecutive and start at 0."""

    number: int
    data: bytes


class Heartbeat(msgspec.Struct, tag="heartbeat"):
    """Keep-alive frame of a stream, with hints for the router."""

    load: float
    generation: int


class End(msgspec.Struct, tag="end", omit_defaults=True):
    """End of an accepted attempt; ``chunks`` is the number of chunks sent."""

    outcome: Outcome
    chunks: int
    detail: str = ""


class NotRun(msgspec.Struct, tag="not-run", omit_defaults=True):
    """The attempt did not run, and no later copy of it will run."""

    reason: Refusal
    generation: int
    detail: str = ""
    retry_after_ms: int = 0
    candidates: list[Candidate] = []


Frame = Attempt | Accepted | ResponseHead | Chunk | Heartbeat | End | NotRun
