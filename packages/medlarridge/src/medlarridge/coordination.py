"""Coordination parts for embedding.

The parts do no I/O. They take events and the time, and return decisions and messages.
docs/library.md lists them.
"""

from ._internal.coordination.accepted_configuration import Configuration, TableStatus
from ._internal.coordination.account_limits import (
    AccountLimiter,
    Allowed,
    LimitDirectory,
    Throttled,
)
from ._internal.coordination.account_limits import Outgoing as LimitOutgoing
from ._internal.coordination.attempts import (
    AttemptRecord,
    AttemptRegister,
    AttemptStream,
)
from ._internal.coordination.configuration import (
    AnnounceGeneration,
    AskPeers,
    ConfigurationHolder,
    FetchDelta,
    ReadStore,
)
from ._internal.coordination.crash_guard import (
    CrashGuard,
    GuardRefusal,
    WaitIdle,
)
from ._internal.coordination.crash_guard import Refuse as GuardRefuse
from ._internal.coordination.crash_guard import Run as GuardRun
from ._internal.coordination.drain import Drain, DrainPhase
from ._internal.coordination.fair_queue import (
    FairQueue,
    Queued,
    QueueEntry,
    QueueLimits,
    Shed,
    ShedReason,
)
from ._internal.coordination.lease import Lease
from ._internal.coordination.ledger import (
    Call,
    LedgerLimits,
    RefusedReason,
    Repeat,
    RunToken,
    Unknown,
    UnknownReason,
)
from ._internal.coordination.ledger import Refused as LedgerRefused
from ._internal.coordination.ledger import Run as LedgerRun
from ._internal.coordination.ledger_records import CallResult
from ._internal.coordination.load_bound import (
    Admitted,
    LoadBound,
    MeanEstimate,
    OverBound,
)
from ._internal.coordination.member_events import (
    Fetch,
    ListedVm,
    NewerGeneration,
    Observation,
    Send,
)
from ._internal.coordination.membership import Membership
from ._internal.coordination.orders import (
    DesiredState,
    EngineReport,
    Mark,
    Order,
    OrderController,
    OrderGuard,
    OrderKind,
    OrderRefusal,
    WeightLoadLimit,
)
from ._internal.coordination.outlier import (
    LatencyHistogram,
    OutlierDetector,
    PoolLatency,
    ServerState,
    StateChange,
)
from ._internal.coordination.outlier import Signal as LatencySignal
from ._internal.coordination.placement import Placement
from ._internal.coordination.pool_mean import (
    MeanReply,
    MeanRequest,
    MeanResult,
    PoolMean,
)
from ._internal.coordination.pool_mean import Outgoing as MeanOutgoing
from ._internal.coordination.prefix_index import CacheEvent, CacheEventKind
from ._internal.coordination.retry import (
    EndedUnknown,
    GiveUp,
    GiveUpReason,
    NeverSent,
    RefusedAttempt,
    RetryAttempt,
    RetryBudget,
    RetryContext,
    RetryPlanner,
    Target,
    Unanswered,
)
from ._internal.coordination.reuse_costs import ReuseCosts
from ._internal.coordination.reuse_messages import (
    HandOver,
    LoadAnswer,
    LoadQuery,
    PrefixAnswer,
    PrefixQuery,
    Release,
    ReuseOutgoing,
    Served,
)
from ._internal.coordination.reuse_planner import Fetch as ReuseFetch
from ._internal.coordination.reuse_planner import Refuse as ReuseRefuse
from ._internal.coordination.reuse_planner import Request as ReuseRequest
from ._internal.coordination.reuse_planner import ReusePlanner
from ._internal.coordination.reuse_planner import Run as ReuseRun
from ._internal.coordination.reuse_planner import Wait as ReuseWait
from ._internal.coordination.steps import Delete, Get, ListNames, Put, Wait
from ._internal.coordination.suspect_store_requests import (
    ClaimRequest,
    ClearRequest,
    ReleaseRequest,
    StrikeRequest,
    SuspectShardView,
)
from ._internal.coordination.suspect_table import SuspectTable

__all__ = [
    "AccountLimiter",
    "Admitted",
    "Allowed",
    "AnnounceGeneration",
    "AskPeers",
    "AttemptRecord",
    "AttemptRegister",
    "AttemptStream",
    "CacheEvent",
    "CacheEventKind",
    "Call",
    "CallResult",
    "ClaimRequest",
    "ClearRequest",
    "Configuration",
    "ConfigurationHolder",
    "CrashGuard",
    "Delete",
    "DesiredState",
    "Drain",
    "DrainPhase",
    "EndedUnknown",
    "EngineReport",
    "FairQueue",
    "Fetch",
    "FetchDelta",
    "Get",
    "GiveUp",
    "GiveUpReason",
    "GuardRefusal",
    "GuardRefuse",
    "GuardRun",
    "HandOver",
    "LatencyHistogram",
    "LatencySignal",
    "Lease",
    "LedgerLimits",
    "LedgerRefused",
    "LedgerRun",
    "LimitDirectory",
    "LimitOutgoing",
    "ListNames",
    "ListedVm",
    "LoadAnswer",
    "LoadBound",
    "LoadQuery",
    "Mark",
    "MeanEstimate",
    "MeanOutgoing",
    "MeanReply",
    "MeanRequest",
    "MeanResult",
    "Membership",
    "NeverSent",
    "NewerGeneration",
    "Observation",
    "Order",
    "OrderController",
    "OrderGuard",
    "OrderKind",
    "OrderRefusal",
    "OutlierDetector",
    "OverBound",
    "Placement",
    "PoolLatency",
    "PoolMean",
    "PrefixAnswer",
    "PrefixQuery",
    "Put",
    "QueueEntry",
    "QueueLimits",
    "Queued",
    "ReadStore",
    "RefusedAttempt",
    "RefusedReason",
    "Release",
    "ReleaseRequest",
    "Repeat",
    "RetryAttempt",
    "RetryBudget",
    "RetryContext",
    "RetryPlanner",
    "ReuseCosts",
    "ReuseFetch",
    "ReuseOutgoing",
    "ReusePlanner",
    "ReuseRefuse",
    "ReuseRequest",
    "ReuseRun",
    "ReuseWait",
    "RunToken",
    "Send",
    "Served",
    "ServerState",
    "Shed",
    "ShedReason",
    "StateChange",
    "StrikeRequest",
    "SuspectShardView",
    "SuspectTable",
    "TableStatus",
    "Target",
    "Throttled",
    "Unanswered",
    "Unknown",
    "UnknownReason",
    "Wait",
    "WaitIdle",
    "WeightLoadLimit",
]
