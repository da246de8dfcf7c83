"""Requests of callers: OpenAI-style chat completions and plain service calls."""

from dataclasses import dataclass, field

import msgspec
import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import UserError
from .tables import MAX_DEADLINE_MS

ACCOUNT_HEADER = "x-medlarridge-account"
CHAT_HEADER = "x-medlarridge-chat"
REGION_HEADER = "x-medlarridge-region"
DEADLINE_HEADER = "x-medlarridge-deadline-ms"
IDEMPOTENCY_HEADER = "idempotency-key"
OUTCOME_HEADER = "x-medlarridge-outcome"
REQUEST_HEADER = "x-medlarridge-request"
OUTCOME_EVENT = "medlarridge-outcome"
OUTCOME_AT_END = "at-end"
"""Outcome header of a streamed response, which reports its outcome at the end."""

DEFAULT_ACCOUNT = "anonymous"
DEFAULT_OUTPUT_TOKENS = 256
BYTES_PER_TOKEN = 4
CHAT_KEY_MESSAGES = 2
"""Messages that identify a chat: the system prompt and the first user message."""

MAX_HEADER_VALUE_LENGTH = 200
MAX_DEADLINE_DIGITS = 20
HOP_BY_HOP_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "te",
        "trailer",
        "proxy-authorization",
        "transfer-encoding",
        "upgrade",
    ]
)


class ChatMessage(BaseModel):
    """One message of a chat; unknown keys are passed on."""

    model_config = ConfigDict(extra="allow")
    role: str = Field(min_length=1, max_length=40)
    content: object = ""


class ChatRequest(BaseModel):
    """The fields of a chat request that routing needs; unknown keys are passed on."""

    model_config = ConfigDict(extra="allow")
    model: str = Field(min_length=1, max_length=63)
    messages: list[ChatMessage] = Field(min_length=1, max_length=10_000)
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1, le=1_000_000)


@dataclass(frozen=True)
class CallerRequest:
    """A validated request of a caller."""

    route: str
    account: str
    method: str
    path: str
    body: bytes
    headers: list[tuple[str, str]]
    chat: str = ""
    region: str = ""
    deadline_ms: int | None = None
    idempotency_key: str = ""
    stream: bool = False
    is_chat: bool = False
    prompt_tokens: int = 0
    output_tokens: int = 0
    fingerprint: str = field(default="", compare=False)


def parse_chat(body: bytes, headers: dict[str, str]) -> CallerRequest:
    """Parse and validate a chat request."""
    try:
        chat = ChatRequest.model_validate_json(body)
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "body"
        raise UserError(
            f"invalid chat request: {where}: {first['msg']}",
            step="parse request",
            hint="send a JSON object with model and messages",
        ) from error
    account = account_of(headers)
    return CallerRequest(
        route=chat.model,
        account=account,
        method="POST",
        path="/v1/chat/completions",
        body=body,
        headers=forwarded_headers(headers),
        chat=chat_key(chat, account, headers),
        region=check_header_value(headers.get(REGION_HEADER, ""), REGION_HEADER),
        deadline_ms=parse_deadline(headers),
        idempotency_key=check_header_value(
            headers.get(IDEMPOTENCY_HEADER, ""), "Idempotency-Key"
        ),
        stream=chat.stream,
        is_chat=True,
        prompt_tokens=max(1, len(body) // BYTES_PER_TOKEN),
        output_tokens=chat.max_tokens or DEFAULT_OUTPUT_TOKENS,
        fingerprint=fingerprint(account, chat.model, body),
    )


def parse_service_call(
    route: str, method: str, path: str, body: bytes, headers: dict[str, str]
) -> CallerRequest:
    """Validate a call of a plain service."""
    account = account_of(headers)
    return CallerRequest(
        route=route,
        account=account,
        method=method,
        path=path,
        body=body,
        headers=forwarded_headers(headers),
        region=check_header_value(headers.get(REGION_HEADER, ""), REGION_HEADER),
        deadline_ms=parse_deadline(headers),
        idempotency_key=check_header_value(
            headers.get(IDEMPOTENCY_HEADER, ""), "Idempotency-Key"
        ),
        prompt_tokens=1,
        output_tokens=1,
        fingerprint=fingerprint(account, f"{route} {method} {path}", body),
    )


def chat_key(chat: ChatRequest, account: str, headers: dict[str, str]) -> str:
    """Return the key of a chat from its header or from its first messages."""
    chat_id = check_header_value(headers.get(CHAT_HEADER, ""), CHAT_HEADER)
    if chat_id:
        return f"{account}/{chat_id}"
    first = [message.model_dump() for message in chat.messages[:CHAT_KEY_MESSAGES]]
    digest = xxhash.xxh3_128_hexdigest(msgspec.json.encode(first, order="sorted"))
    return f"{account}/h-{digest}"


def fingerprint(account: str, target: str, body: bytes) -> str:
    """Return a hash that is the same for repetitions of a request."""
    digest = xxhash.xxh3_128(f"{account}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


def account_of(headers: dict[str, str]) -> str:
    """Return the client account from the header that the platform's balancer sets."""
    return (
        check_header_value(headers.get(ACCOUNT_HEADER, ""), ACCOUNT_HEADER)
        or DEFAULT_ACCOUNT
    )


def parse_deadline(headers: dict[str, str]) -> int | None:
    """Return the caller's deadline in milliseconds, if it set one."""
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    # Checks the length first, because int() raises ValueError for very long numbers.
    is_number = len(text) <= MAX_DEADLINE_DIGITS and text.isascii() and text.isdigit()
    if not is_number or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise UserError(
            f"invalid {DEADLINE_HEADER}: {text[:40]!r}",
            step="parse request",
            hint=f"send whole milliseconds from 1 to {MAX_DEADLINE_MS}",
        )
    return int(text)


def check_header_value(text: str, name: str) -> str:
    """Return a header value; refuse one that is too long or not printable."""
    if len(text) > MAX_HEADER_VALUE_LENGTH or not text.isprintable():
        raise UserError(
            f"invalid {name}: more than {MAX_HEADER_VALUE_LENGTH} or unprintable characters",
            step="parse request",
        )
    return text


def forwarded_headers(headers: dict[str, str]) -> list[tuple[str, str]]:
    """Return the headers that are passed on to the backend server."""
    return [
        (name, value)
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS
    ]
