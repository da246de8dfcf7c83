"""Requests to the routers, and their responses as callers see them."""

from dataclasses import dataclass, field

import httpx
import msgspec

from medlarridge._internal.protocol.caller import (
    ACCOUNT_HEADER,
    CHAT_HEADER,
    IDEMPOTENCY_HEADER,
    OUTCOME_EVENT,
    OUTCOME_HEADER,
)

from .running_fleet import RouterVm, RunningFleet

Messages = list[dict[str, str]]
STREAM_END = "[DONE]"


@dataclass
class Chat:
    """A chat with its message history, as the caller keeps it."""

    account: str
    name: str
    messages: Messages

    def headers(self) -> dict[str, str]:
        """Return the headers that name the account and the chat."""
        return {ACCOUNT_HEADER: self.account, CHAT_HEADER: self.name}


@dataclass
class Response:
    """A complete response to a request."""

    status: int
    outcome: str
    body: bytes
    headers: httpx.Headers

    def json(self) -> dict[str, object]:
        """Return the body as JSON."""
        return msgspec.json.decode(self.body, type=dict[str, object])

    def text(self) -> str:
        """Return the generated text."""
        return self.json()["choices"][0]["message"]["content"]  # type: ignore[index]

    def cached_tokens(self) -> int:
        """Return the number of prompt tokens that the engine had cached."""
        usage = self.json()["usage"]
        return usage["prompt_tokens_details"]["cached_tokens"]  # type: ignore[index]

    def prompt_tokens(self) -> int:
        """Return the number of prompt tokens."""
        return self.json()["usage"]["prompt_tokens"]  # type: ignore[index]

    def error(self) -> str:
        """Return the error message."""
        return self.json()["error"]["message"]  # type: ignore[index]


@dataclass
class StreamedResponse:
    """The received part of a streamed response."""

    status: int = 0
    pieces: list[str] = field(default_factory=list)
    outcome: str = ""
    done: bool = False

    def text(self) -> str:
        """Return the generated text received so far."""
        return "".join(self.pieces)


async def send_chat(
    fleet: RunningFleet,
    router: RouterVm,
    chat: Chat,
    route: str = "",
    max_tokens: int | None = None,
) -> Response:
    """Send a chat and wait for the complete response."""
    response = await fleet.client.post(
        router.url("/v1/chat/completions"),
        json={
            "model": route or fleet.workload.engine_route,
            "messages": chat.messages,
            "max_tokens": max_tokens,
        },
        headers=chat.headers(),
    )
    return to_response(response)


async def stream_chat(
    fleet: RunningFleet,
    router: RouterVm,
    chat: Chat,
    response: StreamedResponse,
    max_tokens: int,
) -> None:
    """Send a chat and collect the streamed response in ``response``."""
    body = {
        "model": fleet.workload.engine_route,
        "messages": chat.messages,
        "stream": True,
        "max_tokens": max_tokens,
    }
    url = router.url("/v1/chat/completions")
    event = ""
    async with fleet.client.stream(
        "POST", url, json=body, headers=chat.headers()
    ) as http_response:
        response.status = http_response.status_code
        async for line in http_response.aiter_lines():
            if line.startswith("event: "):
                event = line.removeprefix("event: ")
            elif line.startswith("data: "):
                apply_event(response, event, line.removeprefix("data: "))
            elif not line:
                event = ""


def apply_event(response: StreamedResponse, event: str, data: str) -> None:
    """Apply the data of one server-sent event to a streamed response."""
    if data == STREAM_END:
        response.done = True
        return
    value = msgspec.json.decode(data)
    if event == OUTCOME_EVENT:
        response.outcome = value["outcome"]
    else:
        response.pieces.append(value["choices"][0]["delta"]["content"])


async def call_service(fleet: RunningFleet, router: RouterVm) -> Response:
    """Send the workload's at-most-once call to the service."""
    workload = fleet.workload
    response = await fleet.client.post(
        router.url(f"/services/{workload.service_route}/{workload.call_path}"),
        json=workload.call_body,
        headers={
            ACCOUNT_HEADER: workload.accounts[0],
            IDEMPOTENCY_HEADER: workload.call_key,
        },
    )
    return to_response(response)


async def count_effects(fleet: RunningFleet) -> int:
    """Return how often the service executed the workload's call."""
    total = 0
    for vm in fleet.servers:
        if vm.pool == fleet.workload.service_pool:
            effects = (await fleet.client.get(f"{vm.server_url}/effects")).json()
            total += effects["keys"].get(fleet.workload.call_key, 0)
    return total


def to_response(http_response: httpx.Response) -> Response:
    """Convert an HTTP response."""
    outcome = http_response.headers.get(OUTCOME_HEADER, "")
    return Response(
        http_response.status_code, outcome, http_response.content, http_response.headers
    )
