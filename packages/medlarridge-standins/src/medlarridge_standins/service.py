"""Simulated service that records the effect of every call."""

from collections import Counter
from dataclasses import dataclass, field

import anyio
import cappa

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.transport.asgi import Endpoints, HttpRequest, HttpResponse

from .common import abort_connection, serve


@dataclass(frozen=True)
class Effect:
    """One call that took effect."""

    number: int
    method: str
    path: str
    key: str


@cappa.command(name="service", default_long=True)
@dataclass
class ServiceSettings:
    """Serve a plain service that records the effect of every call.

    The first ``lose_answers`` calls take effect, but their connection is closed
    before the response is sent.
    """

    bind: str
    delay_ms: int = 0
    lose_answers: int = 0

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        await serve(Service(self).endpoints, self.bind)


@dataclass
class Service:
    """State and HTTP handlers of the simulated service."""

    settings: ServiceSettings
    effects: list[Effect] = field(default_factory=list)
    endpoints: Endpoints = field(default_factory=Endpoints)

    def __post_init__(self) -> None:
        self.endpoints.register("GET", "/effects")(self.get_effects)
        self.endpoints.register("*", "/{rest}")(self.handle_call)

    async def get_effects(self, request: HttpRequest, response: HttpResponse) -> None:
        """Return all effects and their count per idempotency key."""
        keys = Counter(effect.key for effect in self.effects)
        await response.reply_json(
            200, {"total": len(self.effects), "keys": keys, "effects": self.effects}
        )

    async def handle_call(self, request: HttpRequest, response: HttpResponse) -> None:
        """Record the effect immediately, then respond after the delay."""
        body = await request.body()
        key = request.headers.get("idempotency-key", "")
        number = len(self.effects) + 1
        effect = Effect(number, request.method, request.path, key)
        self.effects.append(effect)
        await anyio.sleep(self.settings.delay_ms / MS_PER_S)
        if number <= self.settings.lose_answers:
            await abort_connection(response)
        await response.reply_json(200, {"effect": effect, "body_bytes": len(body)})
