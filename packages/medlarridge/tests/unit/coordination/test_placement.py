import math
from collections import Counter
from random import Random

import pytest
from xxhash import xxh64_intdigest

from medlarridge._internal.coordination.placement import HASH_RANGE, Placement
from medlarridge_standins.planner_cluster import make_member

MEMBERS = [make_member(number) for number in range(60)]
CHATS = [f"chat-{number}" for number in range(3000)]


def homes(placement):
    return {chat: placement.rank(chat, 1, "r")[0].instance.address for chat in CHATS}


def rank_all(key, members):
    """Rank by the exact score of all members, as the reference."""

    def score(member):
        seed = xxh64_intdigest(member.instance.address.encode())
        hashed = xxh64_intdigest(key.encode(), seed)
        return -math.log((hashed + 1) / HASH_RANGE) / member.weight

    return sorted(members, key=score)


class TestPlacement:
    @pytest.mark.parametrize("count", [1, 4, 12])
    def test_ranking_equals_that_by_exact_scores(self, count):
        """Guards against candidates that the hash threshold wrongly excludes."""
        members = [make_member(n, weight=1.0 + n % 3) for n in range(60)]
        placement = Placement(members)
        for chat in CHATS[:300]:
            assert placement.rank(chat, count, "r") == rank_all(chat, members)[:count]

    def test_does_not_depend_on_the_order_of_the_list(self):
        """Guards against a chat that changes its home when another router serves it."""
        shuffled = Random(1).sample(MEMBERS, len(MEMBERS))
        assert homes(Placement(MEMBERS)) == homes(Placement(shuffled))

    def test_a_leaving_member_moves_only_its_own_chats(self):
        """Guards against cold caches on all engines after one of them leaves."""
        before, after = Placement(MEMBERS), Placement(MEMBERS[1:])
        removed = MEMBERS[0].instance.address
        new_homes = homes(after)
        for chat, home in homes(before).items():
            expected = home
            if home == removed:
                expected = before.rank(chat, 2, "r")[1].instance.address
            assert new_homes[chat] == expected

    def test_shares_follow_weights(self):
        """Guards against a small engine that gets as many chats as a large one."""
        members = [make_member(n, weight=1.0 + n % 2) for n in range(10)]
        weights = {m.instance.address: m.weight for m in members}
        shares = Counter(weights[a] for a in homes(Placement(members)).values())
        assert 1.8 < shares[2.0] / shares[1.0] < 2.2

    def test_members_in_the_region_come_first(self):
        """Guards against chats placed in another region without need or permission."""
        near, far = MEMBERS[:5], [make_member(n, "far") for n in range(100, 110)]
        placement = Placement([*far, *near])
        ranked = placement.rank("chat", 8, "r", other_regions=True)
        assert set(ranked[:5]) == set(near)
        assert set(ranked[5:]) < set(far)
        assert set(placement.rank("chat", 8, "r")) == set(near)
        assert placement.rank("chat", 8, "nowhere") == []

    def test_held_down_members_are_used_only_as_a_last_resort(self):
        """Guards against a flapping engine as home, and against an empty ranking."""
        first = Placement(MEMBERS).rank("chat", 1, "r")[0]
        held = {first.instance.address}
        assert first not in Placement(MEMBERS, held).rank("chat", 60, "r")
        assert Placement([first], held).rank("chat", 1, "r") == [first]
