"""Times at which clients that were refused are asked to return.

Each router spreads those that it refused over the time in which its part of the pool can
take them. Urgent ranks and requests that have returned before go first.
"""

from collections import OrderedDict
from random import Random

from msgspec import Struct, field

from medlarridge._internal.clock import Clock

MAX_PLACES = 2_048
"""Refused requests that are remembered; the oldest are forgotten first."""

PLACE_RETENTION_MS = 4_000
"""Time after its return for which a request is known to have returned before."""

EARLY_MS = 20
"""Time by which a client may be early, as its timer and the network differ."""

USEFUL_SHARE = 1 / 3
"""Share of the time left beyond which clients do not honour a time to return."""

LATEST_SPREAD = 0.5
"""Part of the useful time over which those return whose turn would come later."""


RETURNING_WEIGHT = 0.05
"""Weight of the newest request in the part of those that return."""

PREFERENCE = 0.5
"""Part of the possible difference between the refused shares of requests that return and
of new ones. With all of it, no new request would be admitted while others return."""


class Place(Struct):
    """When a refused request may return, and how often it has returned in time."""

    return_ms: int
    returns: int


class ReturnTimes(Struct):
    """Places of refused requests of one pool.

    ``ends_ms`` is the end of the places given out, by rank and whether the request had
    returned before; smaller keys go first. ``returning`` is the part of the requests that
    have returned in time.
    """

    clock: Clock
    random: Random
    places: OrderedDict[int, Place] = field(default_factory=OrderedDict)
    ends_ms: dict[tuple[int, bool], float] = field(default_factory=dict)
    returning: float = 0.0

    def find(self, key: int | None) -> Place | None:
        """Return the place of a request that was refused lately."""
        self.expire()
        return None if key is None else self.places.get(key)

    def is_early(self, place: Place) -> bool:
        """Return whether a request is back before its time."""
        return self.clock.now_ms() < place.return_ms - EARLY_MS

    def adjust_share(self, share: float, key: int | None) -> float:
        """Return the share of requests like one that are refused, of ``share`` in all.

        Those that return in time are refused less often than new ones, and those that are
        early always. The mean over returning and new ones stays the same.
        """
        place = self.find(key)
        if place is not None and self.is_early(place):
            return 1.0
        returns = place is not None
        self.returning += RETURNING_WEIGHT * (returns - self.returning)
        new = 1 - self.returning
        difference = PREFERENCE * min(
            (1 - share) / max(self.returning, RETURNING_WEIGHT),
            share / max(new, RETURNING_WEIGHT),
            1.0,
        )
        return (
            share - difference * new if returns else share + difference * self.returning
        )

    def assign(
        self,
        key: int | None,
        rank: int,
        delay_ms: float,
        step_ms: float,
        remaining_ms: int,
    ) -> int:
        """Return after how many milliseconds a refused request may return.

        The pool takes nobody before ``delay_ms``, and then one each ``step_ms`` of those
        that this router refused. A request that is back early keeps its time. What would
        come too late for the client to honour is spread over the latest useful times.
        """
        now_ms = self.clock.now_ms()
        place = self.find(key)
        if place is not None and self.is_early(place):
            return place.return_ms - now_ms
        returns = 0 if place is None else place.returns + 1
        lane = (rank, returns == 0)
        begin_ms = max(
            [now_ms + delay_ms]
            + [end_ms for other, end_ms in self.ends_ms.items() if other <= lane]
        )
        after_ms = begin_ms + self.random.random() * step_ms - now_ms
        useful_ms = USEFUL_SHARE * remaining_ms
        if after_ms > useful_ms:
            after_ms = useful_ms * (1 - LATEST_SPREAD * self.random.random())
        else:
            self.ends_ms[lane] = begin_ms + step_ms
        if key is not None:
            self.places[key] = Place(now_ms + int(after_ms), returns)
            self.places.move_to_end(key)
        return max(int(after_ms), 1)

    def expire(self) -> None:
        """Forget requests that have not returned, and the oldest beyond the limit."""
        now_ms = self.clock.now_ms()
        while self.places:
            key, place = next(iter(self.places.items()))
            if (
                len(self.places) <= MAX_PLACES
                and now_ms <= place.return_ms + PLACE_RETENTION_MS
            ):
                break
            del self.places[key]
        for lane, end_ms in list(self.ends_ms.items()):
            if end_ms < now_ms:
                del self.ends_ms[lane]
