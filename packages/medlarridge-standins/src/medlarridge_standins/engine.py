"""Stand-in of a model engine with continuous batching and a prefix cache."""

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
    Body,
    DelayedValue,
    abort,
    read_body,
    read_int,
    reply_empty,
    serve,
)
from .prefix_cache import Block, CacheEvents, PrefixCache, block_of, total_tokens

CRASH_STATUS = 70
MIN_ANSWER_TOKENS = 16
MAX_ANSWER_TOKENS = 64
SYLLABLES = ("ba", "ce", "di", "fo", "gu", "ha", "ke", "li", "mo", "nu", "pa", "re")
SYLLABLES_PER_TOKEN = 2


class CrashScope(StrEnum):
    """What a request with the crash marker ends."""

    PROCESS = "process"
    STREAMS = "streams"


class ChatMessage(BaseModel):
    """One message of a chat."""

    role: str
    content: str


class Completion(BaseModel):
    """An OpenAI-style request; a higher priority runs first."""

    messages: list[ChatMessage] = Field(min_length=1)
    model: str = ""
    max_tokens: int | None = Field(default=None, ge=1, le=100_000)
    stream: bool = False
    priority: int = 0


class Order(Body):
    """An order with the fencing number of its sender's lease."""

    fencing_number: int
    kind: Literal["load-model", "load-adapter", "load-version", "change-role"]
    name: str


class KvExport(Body):
    """Request for the cached blocks of a chat beyond what the caller has."""

    chat: str
    after_tokens: int = 0


class KvBlocks(Body):
    """Cached blocks of a chat that follow ``after_tokens``."""

    chat: str
    after_tokens: int
    blocks: list[Block]


@cappa.command(name="engine", default_long=True)
@dataclass
class EngineSettings:
    """Serve a model engine.

    Rates of 0 take no time. ``crash`` is what a request ends whose text contains
    ``crash_marker``.
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
        """Serve until the process is told to end."""
        engine = Engine(self, SystemClock())
        await serve(engine.endpoints, self.bind, engine.run_batches)


def answer_tokens(messages: list[ChatMessage], limit: int | None) -> list[str]:
    """Return the tokens of the answer, which depend on the messages alone.

    An answer has exactly ``limit`` tokens if there is a limit.
    """
    text = "\0".join(f"{message.role}\0{message.content}" for message in messages)
    random = Random(blake2b(text.encode(), digest_size=16).digest())
    count = limit or random.randint(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS)
    return [
        "".join(random.choices(SYLLABLES, k=SYLLABLES_PER_TOKEN)) + " "
        for _ in range(count)
    ]


def expected_completion(
    messages: list[dict[str, str]], limit: int | None = None
) -> str:
    """Return the whole text that an engine answers to messages."""
    return "".join(answer_tokens([ChatMessage(**m) for m in messages], limit))


@dataclass(frozen=True)
class Load:
    """Load of an engine as it reports it."""

    running: int = 0
    waiting: int = 0
    outstanding_tokens: int = 0


@dataclass(eq=False)
class Sequence:
    """A request in the engine and the part of its answer that exists."""

    order: int
    chat: str
    request: Completion
    blocks: list[Block]
    answer: list[str]
    prefill_tokens: int
    cached_tokens: int = 0
    produced: int = 0
    admitted: bool = False
    failed: bool = False
    changed: anyio.Event = field(default_factory=anyio.Event)

    def notify(self) -> None:
        """Wake the reader."""
        self.changed.set()
        self.changed = anyio.Event()

    def outstanding_tokens(self) -> int:
        """Return the work that is left."""
        return self.prefill_tokens + len(self.answer) - self.produced

    async def tokens(self) -> AsyncIterator[str]:
        """Yield the tokens as they are produced, until the end or a failure."""
        for position, token in enumerate(self.answer):
            while self.produced <= position:
                if self.failed:
                    return
                await self.changed.wait()
            yield token


class BatchScheduler:
    """Continuous batching: each step prefills some tokens and decodes one each."""

    def __init__(
        self, settings: EngineSettings, clock: Clock, cache: PrefixCache
    ) -> None:
        self.settings = settings
        self.cache = cache
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.load: DelayedValue[Load] = DelayedValue(clock, Load())
        self.work = anyio.Event()
        self.count = 0

    def submit(self, chat: str, request: Completion) -> Sequence:
        """Queue a request."""
        self.count += 1
        blocks = [
            block_of(message.role, message.content) for message in request.messages
        ]
        sequence = Sequence(
            self.count,
            chat,
            request,
            blocks,
            answer_tokens(request.messages, request.max_tokens),
            total_tokens(blocks),
        )
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda item: (-item.request.priority, item.order))
        self.work.set()
        self.record_load()
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Forget a request that is not finished."""
        for sequences in (self.waiting, self.running):
            if sequence in sequences:
                sequences.remove(sequence)
        self.record_load()

    def fail_all(self) -> None:
        """End all requests and drop the cache, as a crash does."""
        failed = self.waiting + self.running
        self.waiting, self.running = [], []
        self.cache.clear()
        for sequence in failed:
            sequence.failed = True
            sequence.notify()
        self.record_load()

    def record_load(self) -> None:
        """Record the load as it is now."""
        outstanding = sum(s.outstanding_tokens() for s in self.waiting + self.running)
        self.load.set(Load(len(self.running), len(self.waiting), outstanding))
        self.load.read(self.settings.load_lag_ms)

    def admit(self) -> list[Sequence]:
        """Move waiting requests into the batch and return them."""
        room = self.settings.batch - len(self.running)
        admitted, self.waiting = self.waiting[:room], self.waiting[room:]
        for sequence in admitted:
            cached = self.cache.match(sequence.chat, sequence.blocks)
            sequence.cached_tokens = cached
            sequence.prefill_tokens -= cached
            sequence.admitted = True
            sequence.notify()
        self.running += admitted
        return admitted

    async def step(self) -> None:
        """Spend the time of one step, then produce its tokens."""
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
            # It may have been cancelled during the sleep.
            if sequence in self.running:
                self.produce(sequence)
        self.record_load()

    def produce(self, sequence: Sequence) -> None:
        """Add one token to the answer and keep the prefix at its end."""
        sequence.produced += 1
        if sequence.produced == len(sequence.answer):
            self.running.remove(sequence)
            answer = block_of("assistant", "".join(sequence.answer))
            self.cache.store(sequence.chat, [*sequence.blocks, answer])
        sequence.notify()


class Engine:
    """State and handlers of the engine stand-in."""

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        self.settings = settings
        self.events = CacheEvents(
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
        """Run steps for as long as the engine lives."""
        while True:
            if not self.scheduler.running and not self.scheduler.waiting:
                self.scheduler.work = anyio.Event()
                await self.scheduler.work.wait()
            marker = self.settings.crash_marker
            for sequence in self.scheduler.admit():
                if marker and marker in str(sequence.request.messages):
                    self.crash()
                    break
            await self.scheduler.step()

    def crash(self) -> None:
        """End the process, or all its streams."""
        if self.settings.crash is CrashScope.PROCESS:
            os._exit(CRASH_STATUS)
        self.scheduler.fail_all()

    async def complete(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer a chat completion; cancel it when the client is gone."""
        completion = await read_body(request, Completion)
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
                await self.answer(sequence, response)
                tasks.cancel_scope.cancel()
        finally:
            self.scheduler.cancel(sequence)
        if sequence.failed:
            await abort(response)

    async def answer(self, sequence: Sequence, response: HttpResponse) -> None:
        """Write the answer as JSON or as server-sent events."""
        while not (sequence.admitted or sequence.failed):
            await sequence.changed.wait()
        headers = [("x-cached-tokens", str(sequence.cached_tokens))]
        if not sequence.request.stream:
            async for _ in sequence.tokens():
                pass
            if not sequence.failed:
                await response.reply_json(200, whole_answer(sequence), headers)
            return
        await response.start(200, [("content-type", "text/event-stream"), *headers])
        position = 0
        async for token in sequence.tokens():
            position += 1
            event = token_event(sequence, token, position == len(sequence.answer))
            await response.write(event)
        if not sequence.failed:
            await response.write(b"data: [DONE]\n\n")
            await response.end()

    async def get_load(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer with the load of some time ago."""
        load = self.scheduler.load.read(self.settings.load_lag_ms)
        await response.reply_json(200, load)

    async def get_cache_events(
        self, request: HttpRequest, response: HttpResponse
    ) -> None:
        """Answer with the cache events after a number; late and with gaps."""
        events = self.events.after(read_int(request, "after", 0))
        await response.reply_json(200, {"events": events})

    async def export_kv(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer with the cached blocks of a chat."""
        wanted = await read_body(request, KvExport)
        blocks = self.cache.blocks_after(wanted.chat, wanted.after_tokens)
        if not blocks:
            raise HttpError(404, "no such blocks in the cache")
        await self.transfer(blocks)
        exported = KvBlocks(
            chat=wanted.chat, after_tokens=wanted.after_tokens, blocks=blocks
        )
        await response.reply(200, exported.model_dump_json().encode())

    async def import_kv(self, request: HttpRequest, response: HttpResponse) -> None:
        """Add blocks of a chat to the cache."""
        imported = await read_body(request, KvBlocks)
        await self.transfer(imported.blocks)
        held = self.cache.chats.get(imported.chat, [])
        if total_tokens(held) < imported.after_tokens:
            raise HttpError(409, "the blocks before the imported ones are missing")
        beyond = self.cache.blocks_after(imported.chat, imported.after_tokens)
        blocks = [*held[: len(held) - len(beyond)], *imported.blocks]
        self.cache.store(imported.chat, blocks)
        await response.reply_json(200, {"tokens": total_tokens(blocks)})

    async def transfer(self, blocks: list[Block]) -> None:
        """Spend the time that a transfer of KV cache takes."""
        if self.settings.kv_tokens_per_s:
            await anyio.sleep(total_tokens(blocks) / self.settings.kv_tokens_per_s)

    async def accept_order(self, request: HttpRequest, response: HttpResponse) -> None:
        """Carry out an order; a lower fencing number is refused if checked."""
        order = await read_body(request, Order)
        if (
            self.settings.checks_fencing
            and order.fencing_number < self.highest_fencing_number
        ):
            raise HttpError(409, f"a newer number is {self.highest_fencing_number}")
        self.highest_fencing_number = max(
            self.highest_fencing_number, order.fencing_number
        )
        await anyio.sleep(self.settings.order_ms / MS_PER_S)
        self.orders.append(order)
        await reply_empty(response)

    async def get_orders(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer with the orders carried out, oldest first."""
        await response.reply_json(200, [order.model_dump() for order in self.orders])

    async def get_health(self, request: HttpRequest, response: HttpResponse) -> None:
        """Answer that the engine lives."""
        await reply_empty(response)


def whole_answer(sequence: Sequence) -> dict[str, object]:
    """Return the answer as one JSON value."""
    prompt_tokens = total_tokens(sequence.blocks)
    return {
        "id": f"completion-{sequence.order}",
        "object": "chat.completion",
        "model": sequence.request.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": "".join(sequence.answer)},
                "finish_reason": "stop",
            }
        ],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(sequence.answer),
            "total_tokens": prompt_tokens + len(sequence.answer),
            "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
        },
    }


def token_event(sequence: Sequence, token: str, last: bool) -> bytes:
    """Return one token as a server-sent event."""
    event = {
        "id": f"completion-{sequence.order}",
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
