"""HTTP endpoints of the sidecar for routers and other sidecars."""

import anyio
import httpx
import msgspec

from medlarridge._internal.errors import CodecError
from medlarridge._internal.protocol.codec import FrameReader, encode_frame
from medlarridge._internal.protocol.messages import Attempt, NotRun
from medlarridge._internal.transport.asgi import (
    Endpoints,
    HttpError,
    HttpRequest,
    HttpResponse,
)
from medlarridge._internal.transport.attempt_client import (
    FRAMES_CONTENT_TYPE,
    RESUME_HEADER,
)
from medlarridge._internal.transport.auth import SharedKey

from .kv_transfer import EXPORT_PATH, KvRequest, KvTransfer
from .live_attempt import Delivery, LiveAttempt, Superseded
from .sidecar import Sidecar

MAX_KV_REQUEST_BYTES = 4096
MAX_NUMBER_LENGTH = 20
MAX_ATTEMPT_BYTES = 9 * 1024 * 1024


def sidecar_endpoints(
    sidecar: Sidecar, key: SharedKey, transfer: KvTransfer | None = None
) -> Endpoints:
    """Return the endpoints of a sidecar."""
    endpoints = Endpoints()

    @endpoints.register("POST", "/attempts")
    async def post_attempt(request: HttpRequest, response: HttpResponse) -> None:
        key.check(request)
        attempt = await read_attempt(request)
        resume_at = resume_position(request)
        if resume_at is not None:
            live = sidecar.live_attempts.get((attempt.request_id, attempt.number))
            if live is None or not live.stream.can_resume(resume_at):
                raise HttpError(410, "the rest of the answer is not kept")
        result = sidecar.receive(attempt)
        await response.start(200, [("content-type", FRAMES_CONTENT_TYPE)])
        if isinstance(result, NotRun):
            await response.write(encode_frame(result))
            await response.end()
            return
        await deliver(sidecar, result, request, response, resume_at or 0)

    @endpoints.register("POST", "/attempts/{request}/{number}/cancel")
    async def cancel(request: HttpRequest, response: HttpResponse) -> None:
        key.check(request)
        number = parse_number(request.parameters["number"], "the attempt number")
        found = sidecar.cancel(request.parameters["request"], number)
        await response.reply(204 if found else 404, b"")

    @endpoints.register("POST", EXPORT_PATH)
    async def export_kv(request: HttpRequest, response: HttpResponse) -> None:
        key.check(request)
        if transfer is None:
            raise HttpError(404, "this server has no prefix cache")
        body = await request.body(MAX_KV_REQUEST_BYTES)
        try:
            kv_request = msgspec.json.decode(body, type=KvRequest)
            exported = await transfer.export(kv_request)
        except msgspec.MsgspecError as error:
            raise HttpError(400, f"malformed request: {error}") from error
        except httpx.HTTPError as error:
            raise HttpError(502, "the engine does not export") from error
        await response.reply(exported.status_code, exported.content)

    return endpoints


async def read_attempt(request: HttpRequest) -> Attempt:
    """Read the request body and decode its single frame."""
    body = await request.body(MAX_ATTEMPT_BYTES)
    try:
        frames = list(FrameReader(request.client).feed(body))
    except CodecError as error:
        raise HttpError(400, str(error)) from error
    if len(frames) != 1 or not isinstance(frames[0], Attempt):
        raise HttpError(400, "the body is not one attempt")
    return frames[0]


def resume_position(request: HttpRequest) -> int | None:
    """Return the number of the chunk to resume at, ``None`` for a new attempt."""
    text = request.headers.get(RESUME_HEADER)
    if text is None:
        return None
    return parse_number(text, RESUME_HEADER)


def parse_number(text: str, name: str) -> int:
    """Parse a decimal number of a request and limit its length."""
    if len(text) > MAX_NUMBER_LENGTH or not text.isdecimal():
        raise HttpError(400, f"{name} is not a number")
    return int(text)


async def deliver(
    sidecar: Sidecar,
    live: LiveAttempt,
    request: HttpRequest,
    response: HttpResponse,
    from_chunk: int,
) -> None:
    """Send the frames of an attempt until it ends or the router disconnects."""
    if not live.stream.can_resume(from_chunk):
        raise HttpError(410, "the start of the answer is not kept")
    delivery = Delivery(live, response, from_chunk)
    end_sent = False

    async def watch_connection() -> None:
        await request.wait_disconnect()
        tasks.cancel_scope.cancel()

    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_connection)
            await delivery.run(sidecar)
            last_frame = live.record.refusal or live.stream.end
            if last_frame is not None:
                await response.write(encode_frame(last_frame))
                await response.end()
                end_sent = True
            tasks.cancel_scope.cancel()
    except* Superseded:
        pass
    finally:
        if not end_sent:
            delivery.detach(sidecar.clock)
