"""Authentication between processes by a shared key."""

import hashlib
import hmac

from .asgi import HttpError, HttpRequest

KEY_HEADER = "x-medlarridge-key"


class SharedKey:
    """Proof of the shared key that is sent with each request.

    The proof is a keyed digest, so that the key itself is on no connection.
    """

    def __init__(self, key: str) -> None:
        self.secret = key.encode()
        self.proof = hmac.new(self.secret, b"medlarridge process", hashlib.sha256)
        self.token = self.proof.hexdigest()

    def headers(self) -> dict[str, str]:
        """Return the headers that authenticate a request."""
        return {KEY_HEADER: self.token}

    def check(self, request: HttpRequest) -> None:
        """Refuse a request without the proof."""
        given = request.headers.get(KEY_HEADER, "")
        if not hmac.compare_digest(given.encode(), self.token.encode()):
            raise HttpError(401, "missing or wrong process key")
