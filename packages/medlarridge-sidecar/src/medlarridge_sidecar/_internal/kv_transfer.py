"""Transfer of cached prefixes between the engines of a pool."""

import httpx
import msgspec

from medlarridge._internal.clock import MS_PER_S
from medlarridge._internal.transport.auth import SharedKey

EXPORT_PATH = "/kv/export"
IMPORT_PATH = "/kv/import"
TIMEOUT_MS = 500
"""A longer import would use up the time to the first token."""


class KvRequest(msgspec.Struct):
    """Request for the cached blocks of a chat beyond what the caller has."""

    chat: str
    after_tokens: int = 0


class KvTransfer:
    """Fetches blocks from another engine, through its sidecar, into the own one."""

    def __init__(self, client: httpx.AsyncClient, server: str, key: SharedKey) -> None:
        self.client = client
        self.server = server.rstrip("/")
        self.key = key

    async def export(self, kv_request: KvRequest) -> httpx.Response:
        """Ask the own engine for blocks."""
        return await self.client.post(
            self.server + EXPORT_PATH,
            content=msgspec.json.encode(kv_request),
            timeout=TIMEOUT_MS / MS_PER_S,
        )

    async def fetch(self, holder: str, chat: str, cached_tokens: int) -> int:
        """Import what is missing; return the length of the prefix now cached here.

        Any failure gives 0, since the engine can always prefill instead.
        ``cached_tokens`` is a hint: if the blocks do not fit, all are fetched.
        """
        tokens = await self.transfer_once(holder, KvRequest(chat, cached_tokens))
        if not tokens and cached_tokens:
            tokens = await self.transfer_once(holder, KvRequest(chat))
        return tokens

    async def transfer_once(self, holder: str, kv_request: KvRequest) -> int:
        """Move blocks once; return the length of the prefix, 0 on a failure."""
        try:
            exported = await self.client.post(
                f"http://{holder}{EXPORT_PATH}",
                content=msgspec.json.encode(kv_request),
                headers=self.key.headers(),
                timeout=TIMEOUT_MS / MS_PER_S,
            )
            if exported.status_code != httpx.codes.OK:
                return 0
            imported = await self.client.post(
                self.server + IMPORT_PATH,
                content=exported.content,
                timeout=TIMEOUT_MS / MS_PER_S,
            )
        except httpx.HTTPError:
            return 0
        return imported_tokens(imported) if imported.is_success else 0


def imported_tokens(response: httpx.Response) -> int:
    """Return the length of the prefix as the engine reports it."""
    try:
        body = msgspec.json.decode(response.content, type=dict[str, object])
    except msgspec.MsgspecError:
        return 0
    tokens = body.get("tokens", 0)
    return tokens if isinstance(tokens, int) else 0
