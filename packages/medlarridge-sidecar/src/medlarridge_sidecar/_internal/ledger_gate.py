"""Gate that ensures that calls with an idempotency key run at most once."""

from medlarridge._internal.clock import Clock
from medlarridge._internal.coordination.ledger import (
    Call,
    Refused,
    RefusedReason,
    Repeat,
    Run,
    RunToken,
    Unknown,
)
from medlarridge._internal.coordination.ledger_records import CallResult
from medlarridge._internal.fleet import FleetView
from medlarridge._internal.protocol.messages import (
    NotRun,
    Outcome,
    Refusal,
    ResponseHead,
)
from medlarridge._internal.state.ledger_runner import Ledger

from .gates import ResponseWritten
from .live_attempt import LiveAttempt
from .server_result import CallState

RETRY_AFTER_MS = 2_000
REPEATED_HEADER = ("x-medlarridge-repeated", "1")
REFUSALS = {
    RefusedReason.KEY_REUSED: Refusal.INVALID,
    RefusedReason.DEADLINE: Refusal.DEADLINE,
}


class LedgerGate:
    """Registers a call in the ledger before it runs and journals its result.

    Applies to attempts with an idempotency key on routes that are not repeatable.
    """

    def __init__(self, ledger: Ledger, fleet: FleetView, clock: Clock) -> None:
        self.ledger = ledger
        self.fleet = fleet
        self.clock = clock
        self.tokens: dict[tuple[str, int], RunToken] = {}

    async def enter(self, live: LiveAttempt) -> NotRun | ResponseWritten | None:
        """Register the call in the ledger; replay or refuse it if it must not run."""
        attempt = live.attempt
        if attempt.repeatable or not attempt.idempotency_key:
            return None
        remaining_ms = (
            attempt.deadline_ms + live.stream.started_ms - self.clock.now_ms()
        )
        call = Call(
            attempt.route,
            attempt.account,
            attempt.idempotency_key,
            attempt.fingerprint,
            self.clock.now_ms() + remaining_ms,
        )
        decision = await self.ledger.begin(call)
        match decision:
            case Run(token):
                self.tokens[(attempt.request_id, attempt.number)] = token
                live.may_send = lambda: self.ledger.start(token)
                return None
            case Repeat(result):
                return replay_response(live, result)
            case Unknown(reason):
                return ResponseWritten(Outcome.UNKNOWN, f"an earlier copy: {reason}")
            case Refused(reason):
                return NotRun(
                    REFUSALS.get(reason, Refusal.LEDGER_UNAVAILABLE),
                    self.fleet.generation,
                    f"the ledger does not admit the call: {reason}",
                    RETRY_AFTER_MS,
                )

    async def leave(self, live: LiveAttempt) -> None:
        """Journal the result, or release the key of a call that was never sent.

        If the call may have reached the server without a known result, its intent
        stays in the journal, so that repeats end with an unknown outcome.
        """
        key = (live.attempt.request_id, live.attempt.number)
        token = self.tokens.pop(key, None)
        if token is None:
            return
        if not live.maybe_sent:
            await self.ledger.release(token)
        elif live.result is not None and live.result.state is CallState.COMPLETE:
            await self.ledger.finish(token, result_from(live))
        else:
            await self.ledger.abandon(token)


def result_from(live: LiveAttempt) -> CallResult:
    """Return the result to be journalled, without the body if parts were dropped."""
    stream = live.stream
    status = stream.head.status if stream.head else 0
    if stream.head is None or stream.first_number > 0:
        return CallResult(status, kept=False)
    body = b"".join(chunk.data for chunk in stream.chunks)
    return CallResult(status, stream.head.headers, body)


def replay_response(live: LiveAttempt, result: CallResult) -> ResponseWritten:
    """Write the journalled response to the stream."""
    stream = live.stream
    stream.head = ResponseHead(result.status, [*result.headers, REPEATED_HEADER])
    if result.kept:
        if result.body:
            stream.append(result.body)
        return ResponseWritten(Outcome.COMPLETE)
    stream.head = ResponseHead(
        result.status, [("content-type", "text/plain"), REPEATED_HEADER]
    )
    stream.append(b"the call has run; its answer is no longer kept\n")
    return ResponseWritten(Outcome.COMPLETE)
