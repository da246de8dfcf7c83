"""Prefix cache of the simulated engine, with cache events."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

from medlarridge._internal.clock import Clock

from .common import StrictModel

MAX_EVENTS = 10_000
CHARACTERS_PER_TOKEN = 4


class Block(StrictModel):
    """A cached message: digest of its role and text, and its token count."""

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
    """Cached tokens of a chat after a change; 0 means that the chat was evicted."""

    number: int
    chat: str
    tokens: int


@dataclass
class CacheEventLog:
    """Event log with delayed visibility and random loss."""

    clock: Clock
    random: Random
    lag_ms: int
    loss_ratio: float
    last_number: int = 0
    events: deque[tuple[int, CacheEvent]] = field(
        default_factory=lambda: deque(maxlen=MAX_EVENTS)
    )

    def publish(self, chat: str, tokens: int) -> None:
        """Append an event; a lost event leaves a gap in the numbers."""
        self.last_number += 1
        if self.random.random() >= self.loss_ratio:
            event = CacheEvent(self.last_number, chat, tokens)
            self.events.append((self.clock.now_ms(), event))

    def events_after(self, number: int) -> list[CacheEvent]:
        """Return the visible events with a number above ``number``."""
        visible_ms = self.clock.now_ms() - self.lag_ms
        return [
            event
            for time_ms, event in self.events
            if time_ms <= visible_ms and event.number > number
        ]


@dataclass
class PrefixCache:
    """LRU cache of the blocks of each chat, limited by total tokens."""

    limit_tokens: int
    events: CacheEventLog
    used_tokens: int = 0
    chats: OrderedDict[str, list[Block]] = field(default_factory=OrderedDict)

    def match(self, chat: str, blocks: list[Block]) -> int:
        """Return the token count of the longest cached prefix."""
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
        """Cache the blocks of a chat, evicting least recently used chats if needed."""
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
        """Clear the cache without publishing events, as a crash would."""
        self.chats.clear()
        self.used_tokens = 0

    def blocks_after(self, chat: str, after_tokens: int) -> list[Block]:
        """Return a chat's cached blocks after the first ``after_tokens`` tokens."""
        tokens = 0
        blocks = []
        for block in self.chats.get(chat, []):
            if tokens >= after_tokens:
                blocks.append(block)
            tokens += block.tokens
        return blocks
