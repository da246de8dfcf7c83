import msgspec

from medlarridge import ManualClock
from medlarridge_direct._internal.protocol.configuration import Configuration
from medlarridge_direct._internal.state.configuration_holder import ConfigurationHolder

from ..samples import configuration, route


class TestConfigurationHolder:
    def test_it_never_goes_back(self):
        """Guards against an older version that arrives late."""
        holder = ConfigurationHolder(ManualClock(1_000))
        assert holder.update(configuration(revision=7), 900)
        assert not holder.update(configuration(revision=6), 950)
        assert holder.revision == 7

    def test_an_older_version_confirms_nothing(self):
        """Guards against rejecting requests by a version thought to be the newest."""
        holder = ConfigurationHolder(ManualClock(1_000))
        holder.update(configuration(revision=7), 900)
        holder.update(configuration(revision=6), 990)
        assert holder.age_ms() == 100

    def test_a_version_that_is_not_newer_ends_the_request_for_one(self):
        """Guards against reading the store again and again without a pause."""
        holder = ConfigurationHolder(ManualClock(1_000))
        holder.update(configuration(revision=7), 900)
        holder.outdated = True
        holder.update(configuration(revision=7), 950)
        assert not holder.outdated


class TestConfiguration:
    def test_the_longest_prefix_wins(self):
        """Guards against requests that take a broader route."""
        broad = route(name="broad", path_prefix="/plan/")
        narrow = route(name="narrow", path_prefix="/plan/night/")
        found = configuration(broad, narrow).find_route("desk.example", "/plan/night/1")
        assert found == narrow

    def test_hosts_do_not_share_routes(self):
        """Guards against a request that is run for another host."""
        assert configuration().find_route("other.example", "/plan/1") is None

    def test_a_copy_between_routers_is_the_same(self):
        """Guards against routes that double when a peer hands out its copy."""
        original = configuration(route(), route(name="r-2", path_prefix="/tag/"))
        copy = msgspec.msgpack.decode(
            msgspec.msgpack.encode(original), type=Configuration
        )
        assert copy == original
        assert len(copy.by_host["desk.example"]) == 2
