"""HTTP endpoint for operators: metrics and explanations of server selection."""

import msgspec

from .explanation import EXPLAIN_PATH, ExplainRequest, explain
from .protocol.requests import ClientRequest
from .request_handler import RequestHandler
from .transport.response_writer import ResponseWriter


class OperatorEndpoint:
    """Serves explain requests, and the metrics for any other target."""

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler

    async def handle(self, request: ClientRequest, response: ResponseWriter) -> None:
        """Serve one request."""
        if request.target == EXPLAIN_PATH:
            self.handle_explain(request, response)
            return
        response.send(
            200,
            b"Content-Type: text/plain\r\n",
            self.handler.components.metrics.render(),
        )

    def handle_explain(self, request: ClientRequest, response: ResponseWriter) -> None:
        """Respond with the server that a request would get."""
        try:
            explain_request = msgspec.json.decode(request.body, type=ExplainRequest)
        except msgspec.DecodeError as error:
            response.send(400, b"Content-Type: text/plain\r\n", str(error).encode())
            return
        explanation = msgspec.json.encode(explain(self.handler, explain_request))
        response.send(200, b"Content-Type: application/json\r\n", explanation)
