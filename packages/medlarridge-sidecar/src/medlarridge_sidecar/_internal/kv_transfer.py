"""Transfer of cached prefixes between the engines of a pool."""

import httpx
import msgspec

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.transport.auth import SharedKey

EXPORT_PATH = "/kv/export"
IMPORT_PATH = "/kv/import"
TRANSFER_TIMEOUT_MS = 500
"""A longer import would exhaust the time budget of the first token."""


class KvRequest(msgspec.Struct):
    """Request for the cached blocks of a chat after ``after_tokens``."""

    chat: str
    after_tokens: int = 0


class KvTransfer:
    """Copies blocks of another engine, through its sidecar, into the own engine."""

    def __init__(self, client: httpx.AsyncClient, server: str, key: SharedKey) -> None:
        self.client = client
        self.server = server.rstrip("/")
        self.key = key

    async def export(self, kv_request: KvRequest) -> httpx.Response:
        """Request blocks from the own engine."""
        return await self.client.post(
            self.server + EXPORT_PATH,
            content=msgspec.json.encode(kv_request),
            timeout=TRANSFER_TIMEOUT_MS / MS_PER_S,
        )

    async def fetch(self, holder: str, chat: str, cached_tokens: int) -> int:
        """Import missing blocks; return the length of the prefix cached afterwards.

        Return 0 on any failure, since the engine can always prefill instead.
        ``cached_tokens`` is a hint: if the import after it fails, all blocks are
        fetched.
        """
        tokens = await self.transfer_once(holder, KvRequest(chat, cached_tokens))
        if not tokens and cached_tokens:
            tokens = await self.transfer_once(holder, KvRequest(chat))
        return tokens

    async def transfer_once(self, holder: str, kv_request: KvRequest) -> int:
        """Transfer blocks once; return the length of the prefix, 0 on a failure."""
        try:
            exported = await self.client.post(
                f"http://{holder}{EXPORT_PATH}",
                content=msgspec.json.encode(kv_request),
                headers=self.key.headers(),
                timeout=TRANSFER_TIMEOUT_MS / MS_PER_S,
            )
            if exported.status_code != httpx.codes.OK:
                return 0
            imported = await self.client.post(
                self.server + IMPORT_PATH,
                content=exported.content,
                timeout=TRANSFER_TIMEOUT_MS / MS_PER_S,
            )
        except httpx.HTTPError:
            return 0
        return imported_tokens(imported) if imported.is_success else 0


def imported_tokens(response: httpx.Response) -> int:
    """Return the prefix length in the response of the engine, 0 if there is none."""
    try:
        body = msgspec.json.decode(response.content, type=dict[str, object])
    except msgspec.MsgspecError:
        return 0
    tokens = body.get("tokens", 0)
    return tokens if isinstance(tokens, int) else 0
