import msgspec

from medlarridge import ManualClock
from medlarridge_direct._internal.protocol.configuration import Configuration
from medlarridge_direct._internal.state.configuration_holder import ConfigurationHolder

from ..samples import configuration, route


class TestConfigurationHolder:
    def test_an_older_configuration_is_ignored(self):
        """Guards against a late read that replaces a newer configuration."""
        holder = ConfigurationHolder(ManualClock(1_000))
        assert holder.apply_if_newer(configuration(version=7), 900)
        assert not holder.apply_if_newer(configuration(version=6), 950)
        assert holder.version == 7

    def test_an_older_configuration_confirms_nothing(self):
        """Guards against rejecting requests based on an outdated configuration."""
        holder = ConfigurationHolder(ManualClock(1_000))
        holder.apply_if_newer(configuration(version=7), 900)
        holder.apply_if_newer(configuration(version=6), 990)
        assert holder.age_ms() == 100

    def test_a_read_that_finds_nothing_newer_resets_outdated(self):
        """Guards against reading the store repeatedly without a pause."""
        holder = ConfigurationHolder(ManualClock(1_000))
        holder.apply_if_newer(configuration(version=7), 900)
        holder.outdated = True
        holder.apply_if_newer(configuration(version=7), 950)
        assert not holder.outdated


class TestConfiguration:
    def test_the_longest_prefix_wins(self):
        """Guards against sending a request to a less specific route."""
        broad = route(name="broad", path_prefix="/plan/")
        narrow = route(name="narrow", path_prefix="/plan/night/")
        found = configuration(broad, narrow).find_route("desk.example", "/plan/night/1")
        assert found == narrow

    def test_hosts_do_not_share_routes(self):
        """Guards against applying the routes of one host to another."""
        assert configuration().find_route("other.example", "/plan/1") is None

    def test_a_configuration_survives_encoding(self):
        """Guards against duplicate routes in a configuration received from a peer."""
        original = configuration(route(), route(name="r-2", path_prefix="/tag/"))
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(original), type=Configuration
        )
        assert decoded == original
        assert len(decoded.by_host["desk.example"]) == 2
