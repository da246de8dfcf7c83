"""Requests of callers and what they see."""

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
DONE = "[DONE]"


@dataclass
class Chat:
    """One chat as its caller keeps it."""

    account: str
    name: str
    messages: Messages

    def headers(self) -> dict[str, str]:
        """Return the headers that name the account and the chat."""
        return {ACCOUNT_HEADER: self.account, CHAT_HEADER: self.name}


@dataclass
class Response:
    """An answer to a request as the caller sees it."""

    status: int
    outcome: str
    body: bytes
    headers: httpx.Headers

    def json(self) -> dict[str, object]:
        """Return the body as JSON."""
        return msgspec.json.decode(self.body, type=dict[str, object])

    def text(self) -> str:
        """Return the text that the model wrote."""
        return self.json()["choices"][0]["message"]["content"]  # type: ignore[index]

    def cached_tokens(self) -> int:
        """Return the length of the prefix that the engine found."""
        usage = self.json()["usage"]
        return usage["prompt_tokens_details"]["cached_tokens"]  # type: ignore[index]

    def prompt_tokens(self) -> int:
        """Return the length of the prompt."""
        return self.json()["usage"]["prompt_tokens"]  # type: ignore[index]

    def error(self) -> str:
        """Return the error message."""
        return self.json()["error"]["message"]  # type: ignore[index]


@dataclass
class StreamedResponse:
    """A streamed answer as the caller sees it."""

    status: int = 0
    pieces: list[str] = field(default_factory=list)
    outcome: str = ""
    done: bool = False

    def text(self) -> str:
        """Return the text that the model wrote."""
        return "".join(self.pieces)


async def send_chat(
    fleet: RunningFleet,
    router: RouterVm,
    chat: Chat,
    route: str = "",
    max_tokens: int | None = None,
) -> Response:
    """Send a chat and wait for the whole answer."""
    answer = await fleet.client.post(
        router.url("/v1/chat/completions"),
        json={
            "model": route or fleet.workload.engine_route,
            "messages": chat.messages,
            "max_tokens": max_tokens,
        },
        headers=chat.headers(),
    )
    return as_answer(answer)


async def stream_chat(
    fleet: RunningFleet,
    router: RouterVm,
    chat: Chat,
    answer: StreamedResponse,
    max_tokens: int,
) -> None:
    """Send a chat and read the streamed answer piece by piece."""
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
    ) as reply:
        answer.status = reply.status_code
        async for line in reply.aiter_lines():
            if line.startswith("event: "):
                event = line.removeprefix("event: ")
            elif line.startswith("data: "):
                apply_event(answer, event, line.removeprefix("data: "))
            elif not line:
                event = ""


def apply_event(answer: StreamedResponse, event: str, data: str) -> None:
    """Add the data of one event to a streamed answer."""
    if data == DONE:
        answer.done = True
        return
    value = msgspec.json.decode(data)
    if event == OUTCOME_EVENT:
        answer.outcome = value["outcome"]
    else:
        answer.pieces.append(value["choices"][0]["delta"]["content"])


async def call_service(fleet: RunningFleet, router: RouterVm) -> Response:
    """Make the call of the plain service that must run at most once."""
    workload = fleet.workload
    answer = await fleet.client.post(
        router.url(f"/services/{workload.service_route}/{workload.call_path}"),
        json=workload.call_body,
        headers={
            ACCOUNT_HEADER: workload.accounts[0],
            IDEMPOTENCY_HEADER: workload.call_key,
        },
    )
    return as_answer(answer)


async def count_effects(fleet: RunningFleet) -> int:
    """Return how often the plain service ran the call."""
    total = 0
    for vm in fleet.servers:
        if vm.pool == fleet.workload.service_pool:
            effects = (await fleet.client.get(f"{vm.server_url}/effects")).json()
            total += effects["keys"].get(fleet.workload.call_key, 0)
    return total


def as_answer(reply: httpx.Response) -> Response:
    """Return a reply as an answer."""
    outcome = reply.headers.get(OUTCOME_HEADER, "")
    return Response(reply.status_code, outcome, reply.content, reply.headers)
