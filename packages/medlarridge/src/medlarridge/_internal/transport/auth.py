"""Authentication between processes by a shared key."""

import hashlib
import hmac

from .asgi import HttpError, HttpRequest

KEY_HEADER = "x-medlarridge-key"


class SharedKey:
    """Authenticates requests between processes by a proof of the shared key.

    The proof is a keyed digest, so the key itself is never sent.
    """

    def __init__(self, key: str) -> None:
        self.secret = key.encode()
        self.mac = hmac.new(self.secret, b"medlarridge process", hashlib.sha256)
        self.proof = self.mac.hexdigest()

    def headers(self) -> dict[str, str]:
        """Return the headers that authenticate a request."""
        return {KEY_HEADER: self.proof}

    def check(self, request: HttpRequest) -> None:
        """Refuse a request without a valid proof."""
        given = request.headers.get(KEY_HEADER, "")
        if not hmac.compare_digest(given.encode(), self.proof.encode()):
            raise HttpError(401, "missing or wrong process key")
