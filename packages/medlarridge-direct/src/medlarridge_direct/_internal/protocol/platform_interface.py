"""Interfaces that the adapter of a platform implements for the router."""

from typing import Protocol

from msgspec import Struct

from medlarridge._internal.errors import TransportError

from .configuration import Configuration
from .evacuations import EvacuationSnapshot
from .peer_messages import StreamGroup
from .permit_leases import LeaseRecord, StoredLease
from .requests import (
    ForwardingMetadata,
    Headers,
    PromptPart,
    RequestMetadata,
    ResponseHead,
)
from .revision import Revision
from .servers import ServerListing
from .stored_streams import StoredVersionSets, StreamRecord, VersionSet


class Dialect(Protocol):
    """Translates headers and bodies between the platform's format and our types."""

    def parse_request(self, headers: Headers) -> RequestMetadata | None:
        """Return the metadata of a request, or None if its headers are malformed."""
        ...

    def server_headers(self, headers: Headers, metadata: ForwardingMetadata) -> bytes:
        """Return the header lines of an attempt, without ``Content-Length``."""
        ...

    def parse_response(
        self, status: int, reason: bytes, headers: Headers
    ) -> ResponseHead:
        """Return the head of a server's response."""
        ...

    def client_headers(self, head: ResponseHead) -> bytes:
        """Return the header lines of a client response, without ``Content-Length``."""
        ...

    def refusal_headers(self, request_id: str | None, retry_after_ms: int) -> bytes:
        """Return the header lines of a refusal that the router itself sends."""
        ...

    inventory_path: bytes
    """Request target of the call that lists the prompt parts a server caches."""

    report_path: bytes
    """Request target of a call that a model server answers without a slot."""

    def report_headers(self, instance: str) -> bytes:
        """Return the header lines of that call, which is meant for one server."""
        ...

    def parse_report_start(self, body: bytes) -> int | None:
        """Return when the server that reports was started, or None if it does not say."""
        ...

    def parse_inventory(self, body: bytes) -> list[PromptPart] | None:
        """Return the parts in the response body, or None if it is malformed."""
        ...


class HistoryGone(TransportError):
    """The store does not have the changes since the watched revision.

    It has discarded them, or it came back from an older copy.
    """


class ConfigurationSnapshot(Struct, frozen=True):
    """The result of reading or watching the configuration at a revision of the store.

    ``configuration`` is None if there is none or a watch found no change.
    """

    configuration: Configuration | None
    store_revision: Revision


class PlatformStore(Protocol):
    """Client of the platform's store; failed calls raise ``TransportError``."""

    async def register_router(self, node: str, host: str, port: int) -> None:
        """Register the address of a router under the name of its node."""
        ...

    async def list_routers(self) -> dict[str, tuple[str, int]]:
        """Return the addresses of routers by node; they may be a few seconds old."""
        ...

    async def list_refused_parts(self) -> dict[str, int]:
        """Return the stored prompt parts, with the servers that crashed under each.

        They may be a few seconds old.
        """
        ...

    async def save_refused_part(self, part: str, crashes: int) -> None:
        """Store a prompt part that is refused."""
        ...

    async def delete_refused_part(self, part: str) -> None:
        """Remove a stored prompt part."""
        ...

    async def list_refused_requests(self) -> dict[str, int]:
        """Return the stored requests by fingerprint, with the crashes under each.

        They may be a few seconds old.
        """
        ...

    async def save_refused_request(self, fingerprint: str, crashes: int) -> None:
        """Store a request that is refused."""
        ...

    async def delete_refused_request(self, fingerprint: str) -> None:
        """Remove a stored request."""
        ...

    async def read_permit_lease(self, pool: str) -> StoredLease:
        """Return the lease of a pool's permits as of a time not before the call."""
        ...

    async def write_permit_lease(
        self, pool: str, record: LeaseRecord, revision: Revision | None
    ) -> Revision | None:
        """Write a lease in place of the one at ``revision``, None for none.

        Return the new revision, or None if the store has another one.
        """
        ...

    async def list_version_sets(self, stale: bool) -> StoredVersionSets:
        """Return the stored sets of versions.

        They are as of a time not before the call, or may be a few seconds old if
        ``stale``.
        """
        ...

    async def write_version_set(
        self, pool: str, value: VersionSet, revision: int | None
    ) -> Revision | None:
        """Write the set of a pool in place of the one at ``revision``, None for none.

        Return the new revision, or None if the store has another one.
        """
        ...

    async def list_stream_records(self, stale: bool) -> list[StreamRecord]:
        """Return the stored records of all routers.

        They are as of a time not before the call, or may be a few seconds old if
        ``stale``.
        """
        ...

    async def save_stream_record(
        self, name: str, groups: list[StreamGroup], exists: bool
    ) -> None:
        """Store a record; ``exists`` tells that there probably is one of this name."""
        ...

    async def delete_stream_record(self, name: str, revision: int) -> None:
        """Remove a record, if it is there and has this revision."""
        ...

    async def list_servers(self) -> ServerListing:
        """Return all servers as of a time not before the call."""
        ...

    async def watch_servers(
        self, listing: ServerListing, wait_ms: int
    ) -> ServerListing:
        """Wait until the list differs from ``listing``; return the list after that.

        After ``wait_ms`` without a change, return the same servers at a later revision.
        Raise ``HistoryGone`` if changes may have been missed.
        """
        ...

    async def read_configuration(self) -> ConfigurationSnapshot:
        """Return the newest configuration."""
        ...

    async def watch_configuration(
        self, watched_revision: Revision, wait_ms: int
    ) -> ConfigurationSnapshot:
        """Wait for a change of the configuration after a revision of the store.

        Raise ``HistoryGone`` if changes may have been missed.
        """
        ...

    async def read_evacuations(self) -> EvacuationSnapshot:
        """Return the evacuated data centres as of a time not before the call."""
        ...

    async def watch_evacuations(
        self, snapshot: EvacuationSnapshot, wait_ms: int
    ) -> EvacuationSnapshot:
        """Wait until the data centres differ from ``snapshot``; return them after that.

        After ``wait_ms`` without a change, return the same ones at a later revision.
        Raise ``HistoryGone`` if changes may have been missed.
        """
        ...
