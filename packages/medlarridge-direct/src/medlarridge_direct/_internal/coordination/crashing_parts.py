"""Protection against prompt parts that crash the servers that begin to answer them.

Requests with such a part may share nothing else, so the evidence is kept by part. A
server that goes down under a request implicates all shared parts of that request, and
most of them are sound. What tells them apart:

- A sound part is soon answered somewhere. A success ends all earlier evidence.
- Servers that end together, as in a loss of power, count as one crash.
- A crash that a refused part explains does not count against the parts beside it.

All routers hold the same evidence and refuse the parts that follow from it. A refused
part is tried with one request now and then, while the evidence against it is thin. A
part that was never answered and has crashed as many servers, but all together, is on
probation: its requests run one after the other.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from medlarridge._internal.clock import Clock

from .part_crashes import CrashedServers, PartCrash, Suspect

MIN_CRASHES = 3
"""Servers that must have gone down, each at another time, before a part is refused."""

MIN_CRASHES_AT_TWO_TIMES = 5
"""Servers that must have gone down at two times for the same."""

MIN_CRASHES_AFTER_SUCCESS = 5
MIN_TIMES_AFTER_SUCCESS = 4
MIN_CRASHES_AT_TWO_TIMES_AFTER_SUCCESS = 8
"""The same for a part that was answered before. The platform allows five crashes."""

FIRST_TRIAL_MS = 3_000
"""Time after the last crash at which a refused part is tried; it doubles."""

PROBATION_TRIAL_MS = 1_000
"""Interval of the requests with a part on probation."""

TRIAL_DELAY_PER_RANK_MS = 2_000
MAX_TRIAL_RANK = 10
"""Routers try a part in the order of their ranks, since those that rank first may get no
requests with it."""

MAX_CRASHES_BEFORE_TRIAL = 4
MAX_TRIALS = 1
MAX_TRIALS_AFTER_SUCCESS = 2
"""A refused part is tried while it has few crashes, and so many times if it has more,
since each trial may crash one more server. The platform allows three requests after five
crashes, of which some may be on their way."""

SAME_TRIAL_MS = 500
"""Difference up to which two reports mean the same trial."""

RETENTION_MS = 600_000
"""Time after the last request with a part at which the evidence expires."""

ANSWERED_REPEAT_MS = 1_000
"""Time for which the success of a suspected part is reported."""

MAX_SUSPECTS = 2_000
SUSPECTS_KEPT = 1_800
"""Suspects that are kept when there are more than ``MAX_SUSPECTS``."""

MAX_CRASHED_SERVERS = 512
MAX_CRASHES_KEPT = 64
MAX_SUCCESSES = 10_000


class CrashingParts:
    """Evidence against prompt parts, of this router and its peers.

    ``successes`` are the times at which parts were last answered, and ``told_by_peers``
    the parts of which a peer has told the last success. ``answered`` are parts of whose
    success peers should know, and since when: new evidence came against them, or has
    ended. Who has got the answer tells them, not everyone who has heard of it. ``refused`` parts and those on ``probation`` follow from the evidence; they
    are found when they are asked for after it has changed.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.suspects: OrderedDict[str, Suspect] = OrderedDict()
        self.successes: OrderedDict[str, int] = OrderedDict()
        self.told_by_peers: set[str] = set()
        self.answered: dict[str, int] = {}
        self.servers: CrashedServers = CrashedServers()
        self.judged_refused: set[str] = set()
        self.judged_probation: set[str] = set()
        self.is_judged = True
        self.judgements = 0
        self.started_ms = clock.now_ms()

    @property
    def refused(self) -> set[str]:
        """Return the parts that are refused."""
        self.judge_if_changed()
        return self.judged_refused

    @property
    def probation(self) -> set[str]:
        """Return the parts whose requests run one after the other."""
        self.judge_if_changed()
        return self.judged_probation

    # Evidence

    def add_crash(self, crash: PartCrash) -> bool:
        """Add a crash; return whether it is a new one for this part."""
        now_ms = self.clock.now_ms()
        crashed_ms = now_ms - crash.age_ms
        succeeded_ms = self.successes.get(crash.part)
        if succeeded_ms is not None:
            self.announce_success(crash.part)
            if succeeded_ms >= crashed_ms:
                return False
        suspect = self.suspects.setdefault(crash.part, Suspect())
        if crash.server in suspect.crashes or len(suspect.crashes) >= MAX_CRASHES_KEPT:
            return False
        suspect.crashes[crash.server] = crashed_ms
        suspect.mask |= self.servers.bit(crash.server, crashed_ms)
        suspect.wanted_ms = max(suspect.wanted_ms, crashed_ms)
        self.suspects.move_to_end(crash.part)
        self.limit_suspects()
        self.is_judged = False
        return True

    def record_success(self, parts: Iterable[str]) -> list[str]:
        """Record that a request was answered; return the parts that this clears."""
        now_ms = self.clock.now_ms()
        cleared = []
        for part in parts:
            self.told_by_peers.discard(part)
            self.remember_success(part, now_ms)
            if part in self.suspects:
                self.drop_crashes_before(part, now_ms)
                cleared.append(part)
        return cleared

    def record_peer_success(self, part: str, age_ms: int) -> bool:
        """Record that a peer got an answer; return whether this ends evidence."""
        succeeded_ms = self.clock.now_ms() - age_ms
        if succeeded_ms > self.successes.get(part, 0):
            self.told_by_peers.add(part)
        self.remember_success(part, succeeded_ms)
        return part in self.suspects and self.drop_crashes_before(part, succeeded_ms)

    def remember_success(self, part: str, succeeded_ms: int) -> None:
        """Remember the last success of a part, and forget the oldest ones."""
        self.successes[part] = max(succeeded_ms, self.successes.get(part, 0))
        self.successes.move_to_end(part)
        while len(self.successes) > MAX_SUCCESSES:
            forgotten, _ = self.successes.popitem(last=False)
            self.told_by_peers.discard(forgotten)

    def announce_success(self, part: str) -> None:
        """Let the next reports tell of a success unless a peer has told it."""
        if part not in self.told_by_peers:
            self.answered[part] = self.clock.now_ms()

    def drop_crashes_before(self, part: str, succeeded_ms: int) -> bool:
        """Drop the evidence that a success outdates; return whether there was any."""
        suspect = self.suspects[part]
        kept = {
            server: crashed_ms
            for server, crashed_ms in suspect.crashes.items()
            if crashed_ms > succeeded_ms
        }
        if len(kept) == len(suspect.crashes) and not suspect.stored_crashes:
            return False
        self.announce_success(part)
        suspect.crashes, suspect.stored_crashes = kept, 0
        suspect.mask = self.servers.mask(kept)
        if not kept:
            del self.suspects[part]
        self.is_judged = False
        return True

    def add_stored(self, part: str, crashes: int) -> bool:
        """Refuse a part that was refused before; return whether it was not yet."""
        if part in self.successes or part in self.refused:
            return False
        suspect = self.suspects.setdefault(part, Suspect())
        suspect.stored_crashes = max(crashes, 1)
        suspect.stored_ms = suspect.wanted_ms = self.clock.now_ms()
        self.limit_suspects()
        self.is_judged = False
        return True

    def record_wanted(self, part: str, age_ms: int = 0) -> None:
        """Record that a peer refuses a part, and when it last got a request with it."""
        suspect = self.suspects.get(part)
        if suspect is not None:
            wanted_ms = self.clock.now_ms() - age_ms
            suspect.wanted_ms = max(suspect.wanted_ms, wanted_ms)
        elif part in self.successes:
            self.answered[part] = self.clock.now_ms()

    def expire(self) -> None:
        """Drop the evidence against parts that no request has had for long."""
        self.drop_old_answered()
        oldest_ms = self.clock.now_ms() - RETENTION_MS
        expired = [
            part
            for part, suspect in self.suspects.items()
            if suspect.wanted_ms < oldest_ms
        ]
        for part in expired:
            del self.suspects[part]
        if expired:
            self.is_judged = False

    def limit_suspects(self) -> None:
        """Drop the suspects with least evidence, the oldest first."""
        if len(self.suspects) <= MAX_SUSPECTS:
            return
        refused = self.refused
        weakest_first = sorted(
            self.suspects,
            key=lambda part: (part in refused, len(self.suspects[part].crashes)),
        )
        for part in weakest_first[: len(self.suspects) - SUSPECTS_KEPT]:
            del self.suspects[part]
        self.is_judged = False

    def forget_servers(self) -> None:
        """Forget the servers under which no suspect is left to have crashed."""
        self.servers = CrashedServers()
        for suspect in self.suspects.values():
            suspect.mask = self.servers.mask(suspect.crashes)

    # Judgement

    def judge_if_changed(self) -> None:
        """Judge the evidence if it has changed."""
        if not self.is_judged:
            self.is_judged = True
            self.judge()

    def judge(self) -> None:
        """Find the parts to refuse: those that explain most crashes come first.

        Parts that crashed the same servers are judged as one group. A group that does
        not convict once does not later, when more of its crashes are explained.
        """
        self.judgements += 1
        if len(self.servers.times_ms) > MAX_CRASHED_SERVERS:
            self.forget_servers()
        suspects, successes = self.suspects, self.successes
        refused = {part for part, each in suspects.items() if each.stored_crashes}
        explained = 0
        for part in refused:
            explained |= suspects[part].mask
        groups: dict[tuple[int, bool], list[str]] = {}
        for part, suspect in suspects.items():
            if suspect.mask.bit_count() >= MIN_CRASHES and part not in refused:
                groups.setdefault((suspect.mask, part not in successes), []).append(
                    part
                )
        convicting = [key for key in groups if self.is_convicting(*key, explained)]
        while convicting:
            key = min(
                convicting,
                key=lambda key: self.rank(*key, explained, groups[key]),
            )
            refused.add(min(groups[key], key=self.rarity))
            explained |= key[0]
            convicting = [
                key for key in convicting if self.is_convicting(*key, explained)
            ]
        self.judged_refused = refused
        self.judged_probation = {
            part
            for (mask, is_new), parts in groups.items()
            if is_new and (mask & ~explained).bit_count() >= MIN_CRASHES
            for part in parts
            if part not in refused
        }

    def rarity(self, part: str) -> tuple[int, str]:
        """Return a key by which rarer parts come first, and then by name."""
        return self.suspects[part].requests, part

    def rank(self, mask: int, is_new: bool, explained: int, parts: list[str]) -> tuple:
        """Return a key by which groups with stronger evidence come first.

        Parts that were never answered come before all others: while servers crash one
        after the other, no part is answered for some time.
        """
        unexplained = mask & ~explained
        return (
            not is_new,
            -self.servers.count_times(unexplained),
            -unexplained.bit_count(),
            min(map(self.rarity, parts)),
        )

    def is_convicting(self, mask: int, is_new: bool, explained: int) -> bool:
        """Return whether the unexplained crashes suffice to refuse a part."""
        unexplained = mask & ~explained
        crashes = unexplained.bit_count()
        if crashes < MIN_CRASHES:
            return False
        times = self.servers.count_times(unexplained)
        if not is_new:
            return (
                crashes >= MIN_CRASHES_AFTER_SUCCESS
                and times >= MIN_TIMES_AFTER_SUCCESS
            ) or (crashes >= MIN_CRASHES_AT_TWO_TIMES_AFTER_SUCCESS and times > 1)
        return times >= MIN_CRASHES or (
            crashes >= MIN_CRASHES_AT_TWO_TIMES and times > 1
        )

    # Requests

    def find_held(self, parts: Iterable[str]) -> list[str]:
        """Return the parts that are refused or on probation, and count the request."""
        found = []
        for part in parts:
            suspect = self.suspects.get(part)
            if suspect is None:
                continue
            suspect.requests += 1
            if part in self.refused or part in self.probation:
                suspect.wanted_ms = self.clock.now_ms()
                found.append(part)
        return found

    def holds_any(self, parts: Iterable[str]) -> bool:
        """Return whether a part is refused or on probation, see ``find_held``."""
        return any(part in self.refused or part in self.probation for part in parts)

    def begin_trial(self, held: list[str], rank: int) -> bool:
        """Return whether a request may try the parts for which it is held.

        ``rank`` is the position of this router among all. A request tries one refused
        part, or any that are on probation.
        """
        refused_count = sum(part in self.refused for part in held)
        if refused_count and len(held) > 1:
            return False
        rank_delay_ms = TRIAL_DELAY_PER_RANK_MS * min(rank, MAX_TRIAL_RANK)
        if not all(self.is_trial_due(part, rank_delay_ms) for part in held):
            return False
        for part in held:
            self.record_trial(part, 0)
        return True

    def is_trial_due(self, part: str, rank_delay_ms: int) -> bool:
        """Return whether this router may try a part."""
        suspect = self.suspects[part]
        delay_ms = PROBATION_TRIAL_MS
        if part in self.refused:
            if suspect.crash_count > MAX_CRASHES_BEFORE_TRIAL and (
                suspect.stored_crashes or suspect.trials >= self.max_trials(part)
            ):
                return False
            delay_ms = FIRST_TRIAL_MS << min(suspect.trials, MAX_TRIALS_AFTER_SUCCESS)
        since_ms = max(suspect.last_event_ms, self.started_ms)
        return self.clock.now_ms() - since_ms >= delay_ms + rank_delay_ms

    def max_trials(self, part: str) -> int:
        """Return how often a part with many crashes is tried."""
        return MAX_TRIALS_AFTER_SUCCESS if part in self.successes else MAX_TRIALS

    def record_trial(self, part: str, age_ms: int) -> None:
        """Record that this router or a peer tries a part."""
        suspect = self.suspects.get(part)
        tried_ms = self.clock.now_ms() - age_ms
        if suspect is not None and tried_ms > suspect.trial_ms + SAME_TRIAL_MS:
            suspect.trial_ms = tried_ms
            suspect.trials += part in self.refused

    # Reports

    def answered_lately(self) -> list[tuple[str, int]]:
        """Return parts of which peers should know the last success, and its time."""
        self.drop_old_answered()
        return [(part, self.successes[part]) for part in self.answered]

    def drop_old_answered(self) -> None:
        """Drop the successes that peers have been told for long enough."""
        oldest_ms = self.clock.now_ms() - ANSWERED_REPEAT_MS
        self.answered = {
            part: since_ms
            for part, since_ms in self.answered.items()
            if since_ms >= oldest_ms and part in self.successes
        }

    def refused_crashes(self) -> dict[str, int]:
        """Return the refused parts and how many servers have crashed under each."""
        return {part: self.suspects[part].crash_count for part in self.refused}

    def trials(self) -> list[tuple[str, int]]:
        """Return the parts that were tried, and when that was last known to be."""
        return [
            (part, self.suspects[part].trial_ms)
            for part in self.refused | self.probation
            if self.suspects[part].trial_ms
        ]

    def wanted(self) -> list[tuple[str, int]]:
        """Return the refused parts, and when the last request with each came."""
        return [(part, self.suspects[part].wanted_ms) for part in self.refused]

    def held_crashes(self) -> Iterator[PartCrash]:
        """Yield all evidence, that against refused parts first and then the newest."""
        now_ms = self.clock.now_ms()
        newest = sorted(
            self.suspects,
            key=lambda part: (part in self.refused, self.suspects[part].wanted_ms),
            reverse=True,
        )
        for part in newest:
            for server, crashed_ms in self.suspects[part].crashes.items():
                yield PartCrash(part, server, now_ms - crashed_ms)
