"""HTTP endpoints for callers."""

from medlarridge._internal.errors import UserError
from medlarridge._internal.protocol.caller import (
    OUTCOME_HEADER,
    REQUEST_HEADER,
    parse_chat,
    parse_service_call,
)
from medlarridge._internal.protocol.messages import Outcome
from medlarridge._internal.transport.asgi import (
    Endpoints,
    HttpError,
    HttpRequest,
    HttpResponse,
)

from .router import Router

NOT_RUN_HEADERS = {OUTCOME_HEADER: Outcome.NOT_RUN}
UNKNOWN_HEADERS = {OUTCOME_HEADER: Outcome.UNKNOWN}


def caller_endpoints(router: Router, max_body_bytes: int) -> Endpoints:
    """Return the endpoints for callers."""

    def request_id_headers() -> dict[str, str]:
        return {REQUEST_HEADER: router.new_request_id()}

    endpoints = Endpoints(NOT_RUN_HEADERS, UNKNOWN_HEADERS, request_id_headers)

    @endpoints.register("POST", "/v1/chat/completions")
    async def chat(request: HttpRequest, response: HttpResponse) -> None:
        body = await request.body(max_body_bytes)
        try:
            caller = parse_chat(body, request.headers)
        except UserError as error:
            raise HttpError(400, describe_error(error)) from error
        await router.serve(caller, request, response)

    @endpoints.register("GET", "/v1/models")
    async def models(request: HttpRequest, response: HttpResponse) -> None:
        names = sorted(router.fleet.tables.routes)
        data = [{"id": name, "object": "model"} for name in names]
        headers = {OUTCOME_HEADER: Outcome.COMPLETE, **request_id_headers()}
        body = {"object": "list", "data": data}
        await response.reply_json(200, body, list(headers.items()))

    @endpoints.register("*", "/services/{route}/{rest}")
    async def service(request: HttpRequest, response: HttpResponse) -> None:
        body = await request.body(max_body_bytes)
        path = "/" + request.parameters["rest"]
        if request.query_string:
            path += "?" + request.query_string
        try:
            caller = parse_service_call(
                request.parameters["route"],
                request.method,
                path,
                body,
                request.headers,
            )
        except UserError as error:
            raise HttpError(400, describe_error(error)) from error
        await router.serve(caller, request, response)

    return endpoints


def describe_error(error: UserError) -> str:
    """Return the message and the hint of an error in one line."""
    return f"{error.message}; {error.hint}" if error.hint else error.message
