"""Simulated model engine with continuous batching and a prefix cache."""

import os
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import blake2b
from random import Random
from typing import Literal

import anyio
import cappa
import msgspec
from pydantic import BaseModel, Field

from medlarridge._internal.clock import MS_PER_S, Clock, SystemClock
from medlarridge._internal.transport.asgi import (
    Endpoints,
    HttpError,
    HttpRequest,
    HttpResponse,
)

from .common import (
    DelayedValue,
    StrictModel,
    abort_connection,
    read_body,
    read_int,
    reply_no_content,
    serve,
)
from .prefix_cache import Block, CacheEventLog, PrefixCache, block_of, total_tokens

CRASH_STATUS = 70
MIN_COMPLETION_TOKENS = 16
MAX_COMPLETION_TOKENS = 64
SYLLABLES = ("ba", "ce", "di", "fo", "gu", "ha", "ke", "li", "mo", "nu", "pa", "re")
SYLLABLES_PER_TOKEN = 2


class CrashScope(StrEnum):
    """What a request with the crash marker terminates."""

    PROCESS = "process"
    STREAMS = "streams"


class ChatMessage(BaseModel):
    """One message of a chat."""

    role: str
    content: str


class CompletionRequest(BaseModel):
    """OpenAI-style request; a higher ``priority`` is scheduled first."""

    messages: list[ChatMessage] = Field(min_length=1)
    model: str = ""
    max_tokens: int | None = Field(default=None, ge=1, le=100_000)
    stream: bool = False
    priority: int = 0


class Order(StrictModel):
    """An order with the fencing number of the sender's lease."""

    fencing_number: int
    kind: Literal["load-model", "load-adapter", "load-version", "change-role"]
    name: str


class KvExportRequest(StrictModel):
    """Request for a chat's cached blocks after the first ``after_tokens`` tokens."""

    chat: str
    after_tokens: int = 0


class KvBlocks(StrictModel):
    """Cached blocks of a chat after the first ``after_tokens`` tokens."""

    chat: str
    after_tokens: int
    blocks: list[Block]


@cappa.command(name="engine", default_long=True)
@dataclass
class EngineSettings:
    """Serve a model engine.

    A rate of 0 means that the operation takes no time. A request whose text contains
    ``crash_marker`` terminates what ``crash`` specifies.
    """

    bind: str
    prefill_tokens_per_s: float = 8_000
    prefill_step_tokens: int = 512
    token_ms: float = 20
    batch: int = 32
    cache_tokens: int = 200_000
    kv_tokens_per_s: float = 100_000
    load_lag_ms: int = 500
    events_lag_ms: int = 500
    events_loss: float = 0.05
    order_ms: int = 0
    checks_fencing: bool = False
    crash_marker: str = ""
    crash: CrashScope = CrashScope.PROCESS
    seed: int = 1

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        engine = Engine(self, SystemClock())
        await serve(engine.endpoints, self.bind, engine.run_batches)


def generate_tokens(messages: list[ChatMessage], limit: int | None) -> list[str]:
    """Return completion tokens that are a deterministic function of the messages.

    With a ``limit``, the completion has exactly that many tokens.
    """
    text = "\0".join(f"{message.role}\0{message.content}" for message in messages)
    random = Random(blake2b(text.encode(), digest_size=16).digest())
    count = limit or random.randint(MIN_COMPLETION_TOKENS, MAX_COMPLETION_TOKENS)
    return [
        "".join(random.choices(SYLLABLES, k=SYLLABLES_PER_TOKEN)) + " "
        for _ in range(count)
    ]


def expected_completion(
    messages: list[dict[str, str]], limit: int | None = None
) -> str:
    """Return the full completion text that an engine produces for messages."""
    return "".join(generate_tokens([ChatMessage(**m) for m in messages], limit))


@dataclass(frozen=True)
class Load:
    """Load reported by an engine."""

    running: int = 0
    waiting: int = 0
    outstanding_tokens: int = 0


@dataclass(eq=False)
class Sequence:
    """A request in the engine and the progress of its completion."""

    arrival_number: int
    chat: str
    request: CompletionRequest
    blocks: list[Block]
    completion: list[str]
    prefill_tokens: int
    cached_tokens: int = 0
    produced_tokens: int = 0
    admitted: bool = False
    failed: bool = False
    changed: anyio.Event = field(default_factory=anyio.Event)

    def notify(self) -> None:
        """Wake tasks that wait for progress."""
        self.changed.set()
        self.changed = anyio.Event()

    def outstanding_tokens(self) -> int:
        """Return the number of tokens left to prefill and decode."""
        return self.prefill_tokens + len(self.completion) - self.produced_tokens

    async def stream_tokens(self) -> AsyncIterator[str]:
        """Yield tokens as they are produced, until the end or a failure."""
        for position, token in enumerate(self.completion):
            while self.produced_tokens <= position:
                if self.failed:
                    return
                await self.changed.wait()
            yield token


class BatchScheduler:
    """Continuous batching: a step prefills a chunk and decodes a token per sequence."""

    def __init__(
        self, settings: EngineSettings, clock: Clock, cache: PrefixCache
    ) -> None:
        self.settings = settings
        self.cache = cache
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.load: DelayedValue[Load] = DelayedValue(clock, Load())
        self.work_available = anyio.Event()
        self.submitted = 0

    def submit(self, chat: str, request: CompletionRequest) -> Sequence:
        """Queue a request."""
        self.submitted += 1
        blocks = [
            block_of(message.role, message.content) for message in request.messages
        ]
        sequence = Sequence(
            self.submitted,
            chat,
            request,
            blocks,
            generate_tokens(request.messages, request.max_tokens),
            total_tokens(blocks),
        )
        self.waiting.append(sequence)
        self.waiting.sort(
            key=lambda item: (-item.request.priority, item.arrival_number)
        )
        self.work_available.set()
        self.record_load()
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Remove a request that is waiting or running."""
        for sequences in (self.waiting, self.running):
            if sequence in sequences:
                sequences.remove(sequence)
        self.record_load()

    def fail_all(self) -> None:
        """Fail all requests and clear the cache, as a crash would."""
        failed = self.waiting + self.running
        self.waiting, self.running = [], []
        self.cache.clear()
        for sequence in failed:
            sequence.failed = True
            sequence.notify()
        self.record_load()

    def record_load(self) -> None:
        """Record the current load."""
        outstanding = sum(s.outstanding_tokens() for s in self.waiting + self.running)
        self.load.set(Load(len(self.running), len(self.waiting), outstanding))
        self.load.read(self.settings.load_lag_ms)

    def admit(self) -> list[Sequence]:
        """Move waiting requests into free slots of the batch and return them."""
        free_slots = self.settings.batch - len(self.running)
        admitted, self.waiting = self.waiting[:free_slots], self.waiting[free_slots:]
        for sequence in admitted:
            cached = self.cache.match(sequence.chat, sequence.blocks)
            sequence.cached_tokens = cached
            sequence.prefill_tokens -= cached
            sequence.admitted = True
            sequence.notify()
        self.running += admitted
        return admitted

    async def step(self) -> None:
        """Sleep for the duration of one step, then produce its tokens."""
        budget = self.settings.prefill_step_tokens
        for sequence in self.running:
            taken = min(sequence.prefill_tokens, budget)
            sequence.prefill_tokens -= taken
            budget -= taken
        ready = [s for s in self.running if not s.prefill_tokens]
        prefilled = self.settings.prefill_step_tokens - budget
        step_ms = self.settings.token_ms if ready else 0.0
        if self.settings.prefill_tokens_per_s:
            step_ms += prefilled * MS_PER_S / self.settings.prefill_tokens_per_s
        await anyio.sleep(step_ms / MS_PER_S)
        for sequence in ready:
            # The sequence may have been cancelled during the sleep.
            if sequence in self.running:
                self.produce_token(sequence)
        self.record_load()

    def produce_token(self, sequence: Sequence) -> None:
        """Produce one token; cache the prefix when the completion is finished."""
        sequence.produced_tokens += 1
        if sequence.produced_tokens == len(sequence.completion):
            self.running.remove(sequence)
            answer_block = block_of("assistant", "".join(sequence.completion))
            self.cache.store(sequence.chat, [*sequence.blocks, answer_block])
        sequence.notify()


class Engine:
    """State and HTTP handlers of the simulated engine."""

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        self.settings = settings
        self.events = CacheEventLog(
            clock, Random(settings.seed), settings.events_lag_ms, settings.events_loss
        )
        self.cache = PrefixCache(settings.cache_tokens, self.events)
        self.scheduler = BatchScheduler(settings, clock, self.cache)
        self.orders: list[Order] = []
        self.highest_fencing_number = 0
        self.endpoints = Endpoints()
        register = self.endpoints.register
        register("POST", "/v1/chat/completions")(self.complete)
        register("GET", "/load")(self.get_load)
        register("GET", "/cache/events")(self.get_cache_events)
        register("POST", "/kv/export")(self.export_kv)
        register("POST", "/kv/import")(self.import_kv)
        register("POST", "/orders")(self.accept_order)
        register("GET", "/orders")(self.get_orders)
        register("GET", "/health")(self.get_health)

    async def run_batches(self) -> None:
        """Run batching steps until cancelled."""
        while True:
            if not self.scheduler.running and not self.scheduler.waiting:
                self.scheduler.work_available = anyio.Event()
                await self.scheduler.work_available.wait()
            marker = self.settings.crash_marker
            for sequence in self.scheduler.admit():
                if marker and marker in str(sequence.request.messages):
                    self.crash()
                    break
            await self.scheduler.step()

    def crash(self) -> None:
        """Terminate the process or all its streams, as configured."""
        if self.settings.crash is CrashScope.PROCESS:
            os._exit(CRASH_STATUS)
        self.scheduler.fail_all()

    async def complete(self, request: HttpRequest, response: HttpResponse) -> None:
        """Serve a chat completion; cancel it when the client disconnects."""
        completion = await read_body(request, CompletionRequest)
        first = completion.messages[0]
        chat = request.headers.get("x-medlarridge-chat")
        chat = chat or block_of(first.role, first.content).digest
        sequence = self.scheduler.submit(chat, completion)
        try:
            async with anyio.create_task_group() as tasks:

                async def cancel_when_closed() -> None:
                    await request.wait_disconnect()
                    tasks.cancel_scope.cancel()

                tasks.start_soon(cancel_when_closed)
                await self.write_completion(sequence, response)
                tasks.cancel_scope.cancel()
        finally:
            self.scheduler.cancel(sequence)
        if sequence.failed:
            await abort_connection(response)

    async def write_completion(
        self, sequence: Sequence, response: HttpResponse
    ) -> None:
        """Write the completion as JSON or as server-sent events."""
        while not (sequence.admitted or sequence.failed):
            await sequence.changed.wait()
        headers = [("x-cached-tokens", str(sequence.cached_tokens))]
        if not sequence.request.stream:
            async for _ in sequence.stream_tokens():
                pass
            if not sequence.failed:
                await response.reply_json(200, completion_body(sequence), headers)
            return
        await response.start(200, [("content-type", "text/event-stream"), *headers])
        position = 0
        async for token in sequence.stream_tokens():
            position += 1
            event = token_event(sequence, token, position == len(sequence.completion))
            await response.write(event)
        if not sequence.failed:
            await response.write(b"data: [DONE]\n\n")
            await response.end()

    async def get_load(self, request: HttpRequest, response: HttpResponse) -> None:
        """Return the load, delayed by ``load_lag_ms``."""
        load = self.scheduler.load.read(self.settings.load_lag_ms)
        await response.reply_json(200, load)

    async def get_cache_events(
        self, request: HttpRequest, response: HttpResponse
    ) -> None:
        """Return the cache events after a number, delayed and with gaps."""
        events = self.events.events_after(read_int(request, "after", 0))
        await response.reply_json(200, {"events": events})

    async def export_kv(self, request: HttpRequest, response: HttpResponse) -> None:
        """Return cached blocks of a chat."""
        export = await read_body(request, KvExportRequest)
        blocks = self.cache.blocks_after(export.chat, export.after_tokens)
        if not blocks:
            raise HttpError(404, "the requested blocks are not cached")
        await self.transfer(blocks)
        exported = KvBlocks(
            chat=export.chat, after_tokens=export.after_tokens, blocks=blocks
        )
        await response.reply(200, exported.model_dump_json().encode())

    async def import_kv(self, request: HttpRequest, response: HttpResponse) -> None:
        """Add blocks of a chat to the cache; the preceding blocks must be cached."""
        imported = await read_body(request, KvBlocks)
        await self.transfer(imported.blocks)
        cached = self.cache.chats.get(imported.chat, [])
        if total_tokens(cached) < imported.after_tokens:
            raise HttpError(
                409, "the blocks that precede the imported ones are not cached"
            )
        replaced = self.cache.blocks_after(imported.chat, imported.after_tokens)
        blocks = [*cached[: len(cached) - len(replaced)], *imported.blocks]
        self.cache.store(imported.chat, blocks)
        await response.reply_json(200, {"tokens": total_tokens(blocks)})

    async def transfer(self, blocks: list[Block]) -> None:
        """Sleep for the duration of a KV cache transfer."""
        if self.settings.kv_tokens_per_s:
            await anyio.sleep(total_tokens(blocks) / self.settings.kv_tokens_per_s)

    async def accept_order(self, request: HttpRequest, response: HttpResponse) -> None:
        """Execute an order; with fencing checks, reject outdated fencing numbers."""
        order = await read_body(request, Order)
        if (
            self.settings.checks_fencing
            and order.fencing_number < self.highest_fencing_number
        ):
            raise HttpError(
                409,
                f"outdated fencing number; highest seen: {self.highest_fencing_number}",
            )
        self.highest_fencing_number = max(
            self.highest_fencing_number, order.fencing_number
        )
        await anyio.sleep(self.settings.order_ms / MS_PER_S)
        self.orders.append(order)
        await reply_no_content(response)

    async def get_orders(self, request: HttpRequest, response: HttpResponse) -> None:
        """Return the executed orders, oldest first."""
        await response.reply_json(200, [order.model_dump() for order in self.orders])

    async def get_health(self, request: HttpRequest, response: HttpResponse) -> None:
        """Return 204 to show that the engine is alive."""
        await reply_no_content(response)


def completion_body(sequence: Sequence) -> dict[str, object]:
    """Return the full completion as a JSON object."""
    prompt_tokens = total_tokens(sequence.blocks)
    return {
        "id": f"completion-{sequence.arrival_number}",
        "object": "chat.completion",
        "model": sequence.request.model,
        "choices": [
            {
                "index": 0,
                "message": {
                    "role": "assistant",
                    "content": "".join(sequence.completion),
                },
                "finish_reason": "stop",
            }
        ],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(sequence.completion),
            "total_tokens": prompt_tokens + len(sequence.completion),
            "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
        },
    }


def token_event(sequence: Sequence, token: str, last: bool) -> bytes:
    """Return one token as a server-sent event."""
    event = {
        "id": f"completion-{sequence.arrival_number}",
        "object": "chat.completion.chunk",
        "model": sequence.request.model,
        "choices": [
            {
                "index": 0,
                "delta": {"content": token},
                "finish_reason": "stop" if last else None,
            }
        ],
    }
    return b"data: " + msgspec.json.encode(event) + b"\n\n"
