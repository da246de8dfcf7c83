"""Prefix cache of the engine stand-in, with cache events."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

from medlarridge._internal.clock import Clock

from .common import StrictModel

MAX_EVENTS = 10_000
CHARACTERS_PER_TOKEN = 4


class Block(StrictModel):
    """A message in the cache: digest of its role and text, and its tokens."""

    digest: str
    tokens: int


def block_of(role: str, text: str) -> Block:
    """Return the block of one message."""
    digest = blake2b(f"{role}\0{text}".encode(), digest_size=8).hexdigest()
    return Block(digest=digest, tokens=len(text) // CHARACTERS_PER_TOKEN + 1)


def total_tokens(blocks: list[Block]) -> int:
    """Return the number of tokens in blocks."""
    return sum(block.tokens for block in blocks)


@dataclass(frozen=True)
class CacheEvent:
    """A change of the cache; ``tokens`` is 0 after the chat was evicted."""

    number: int
    chat: str
    tokens: int


@dataclass
class CacheEventLog:
    """Events that appear late and of which a share is lost."""

    clock: Clock
    random: Random
    lag_ms: int
    loss_ratio: float
    last_number: int = 0
    events: deque[tuple[int, CacheEvent]] = field(
        default_factory=lambda: deque(maxlen=MAX_EVENTS)
    )

    def publish(self, chat: str, tokens: int) -> None:
        """Add an event; a lost one leaves a gap in the numbers."""
        self.last_number += 1
        if self.random.random() >= self.loss_ratio:
            event = CacheEvent(self.last_number, chat, tokens)
            self.events.append((self.clock.now_ms(), event))

    def events_after(self, number: int) -> list[CacheEvent]:
        """Return the visible events with a higher number."""
        visible_ms = self.clock.now_ms() - self.lag_ms
        return [
            event
            for time_ms, event in self.events
            if time_ms <= visible_ms and event.number > number
        ]


@dataclass
class PrefixCache:
    """Blocks of each chat within a number of tokens, least recently used first."""

    limit_tokens: int
    events: CacheEventLog
    used_tokens: int = 0
    chats: OrderedDict[str, list[Block]] = field(default_factory=OrderedDict)

    def match(self, chat: str, blocks: list[Block]) -> int:
        """Return the tokens of the longest cached prefix."""
        if chat not in self.chats:
            return 0
        self.chats.move_to_end(chat)
        tokens = 0
        for cached, block in zip(self.chats[chat], blocks, strict=False):
            if cached != block:
                break
            tokens += block.tokens
        return tokens

    def store(self, chat: str, blocks: list[Block]) -> None:
        """Keep the blocks of a chat and evict the chats unused for longest."""
        self.used_tokens += total_tokens(blocks)
        self.used_tokens -= total_tokens(self.chats.get(chat, []))
        self.chats[chat] = blocks
        self.chats.move_to_end(chat)
        self.events.publish(chat, total_tokens(blocks))
        while self.used_tokens > self.limit_tokens:
            evicted, dropped = self.chats.popitem(last=False)
            self.used_tokens -= total_tokens(dropped)
            self.events.publish(evicted, 0)

    def clear(self) -> None:
        """Drop everything without events, as a crash does."""
        self.chats.clear()
        self.used_tokens = 0

    def blocks_after(self, chat: str, after_tokens: int) -> list[Block]:
        """Return the cached blocks of a chat beyond a number of tokens."""
        tokens = 0
        blocks = []
        for block in self.chats.get(chat, []):
            if tokens >= after_tokens:
                blocks.append(block)
            tokens += block.tokens
        return blocks
