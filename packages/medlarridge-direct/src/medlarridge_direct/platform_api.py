"""Public API for platform adapters: types, errors, the HTTP client and the router."""

from medlarridge._internal.errors import TransportError, UserError

from ._internal.coordination.memory_account import MemoryAccount, share_memory
from ._internal.daemon import DirectRouter
from ._internal.error_reports import ErrorReports
from ._internal.logs import Log
from ._internal.protocol.configuration import (
    Account,
    ClientLimits,
    Configuration,
    Pool,
    PoolShare,
    Route,
    RouteKind,
)
from ._internal.protocol.evacuations import EvacuationSnapshot
from ._internal.protocol.lenient_json import bounded_int, decode_json
from ._internal.protocol.peer_messages import StreamGroup
from ._internal.protocol.permit_leases import LeaseRecord, StoredLease
from ._internal.protocol.platform_interface import (
    ConfigurationSnapshot,
    Dialect,
    HistoryGone,
    PlatformStore,
)
from ._internal.protocol.requests import (
    ForwardingMetadata,
    Headers,
    PromptPart,
    RequestMetadata,
    ResponseHead,
    ServerLoad,
)
from ._internal.protocol.revision import Revision
from ._internal.protocol.server_notices import ServerNotice
from ._internal.protocol.servers import BackendServer, ServerListing, ServerState
from ._internal.protocol.stored_streams import (
    StoredVersionSet,
    StoredVersionSets,
    StreamRecord,
    VersionSet,
)
from ._internal.settings import DirectSettings, load_settings, split_endpoint
from ._internal.transport.http_client import HttpClient, HttpResponse

__all__ = [
    "Account",
    "BackendServer",
    "ClientLimits",
    "Configuration",
    "ConfigurationSnapshot",
    "Dialect",
    "DirectRouter",
    "DirectSettings",
    "ErrorReports",
    "EvacuationSnapshot",
    "ForwardingMetadata",
    "Headers",
    "HistoryGone",
    "HttpClient",
    "HttpResponse",
    "LeaseRecord",
    "Log",
    "MemoryAccount",
    "PlatformStore",
    "Pool",
    "PoolShare",
    "PromptPart",
    "RequestMetadata",
    "ResponseHead",
    "Revision",
    "Route",
    "RouteKind",
    "ServerListing",
    "ServerLoad",
    "ServerNotice",
    "ServerState",
    "StoredLease",
    "StoredVersionSet",
    "StoredVersionSets",
    "StreamGroup",
    "StreamRecord",
    "TransportError",
    "UserError",
    "VersionSet",
    "bounded_int",
    "decode_json",
    "load_settings",
    "share_memory",
    "split_endpoint",
]
