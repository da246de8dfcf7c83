"""Objects of other writers that cannot be read: each costs itself alone."""

import json

import msgspec
import pytest

from medlarridge import CodecError, TransportError
from medlarridge_direct._internal.peer_snapshots import decode_content, encode_content
from medlarridge_direct._internal.protocol.peer_messages import decode_report
from medlarridge_direct._internal.protocol.permit_messages import (
    PREFIX,
    decode_permit_message,
)
from medlarridge_direct.platform_api import HttpResponse, ServerListing
from medlarridge_platform.headers import HeaderDialect
from medlarridge_platform.store import ObjectStore, parse_server

from .test_store import ENTRY, SPEC, FakeClient, item

pytestmark = pytest.mark.anyio

DEEP = b"[" * 1_200 + b"]" * 1_200
VERY_DEEP = b'{"a":' * 100_000 + b"1" + b"}" * 100_000
HUGE = b"9" * 400
UNREADABLE_VALUES = {
    "deep": DEEP,
    "very deep": VERY_DEEP,
    "beyond floats": b"1e400",
    "5000 digits": b"9" * 5_000,
    "not a number": b"NaN",
    "lone surrogate": rb'"\ud800"',
    "not utf-8": b'"\xff\xfe"',
    "control character": b'"\x01"',
    "unknown escape": rb'"\q"',
}
OUT_OF_RANGE = {
    "400 digits": HUGE,
    "1e300": b"1e300",
    "64 bits": b"18446744073709551616",
    "negative": b"-1",
}
NUMBERS = ("sequence", "born", "slots", "coldRemainingMs")
WHOLE_ENTRIES = {
    "null": b"null",
    "number": b"5",
    "text": b'"x"',
    "list": b"[]",
    "no metadata": b'{"spec": {}}',
    "null metadata": b'{"metadata": null, "spec": null}',
    "no name": b'{"metadata": {}, "spec": {}}',
    "number as name": b'{"metadata": {"name": 5}, "spec": {}}',
    "deep": DEEP,
    "not a number": b"NaN",
}


def spec_with(**values):
    """Return the JSON of an entry in which raw values replace fields."""
    members = [
        b'"%b":%b' % (name.encode(), value)
        for name, value in {
            **{name: msgspec.json.encode(value) for name, value in ENTRY.items()},
            **values,
        }.items()
    ]
    return b"{" + b",".join(members) + b"}"


def entry(name, spec):
    return b'{"metadata":{"name":"%b","revision":3},"spec":%b}' % (name, spec)


def odd_entries():
    """Return entries that name no server to use, by what is odd about them."""
    odd = {f"whole: {name}": value for name, value in WHOLE_ENTRIES.items()}
    for name, value in UNREADABLE_VALUES.items():
        odd[f"extra field: {name}"] = entry(b"odd", spec_with(extra=value))
        odd[f"address: {name}"] = entry(b"odd", spec_with(address=value))
        odd[f"spec: {name}"] = entry(b"odd", value)
    for field in NUMBERS:
        for name, value in (UNREADABLE_VALUES | OUT_OF_RANGE).items():
            odd[f"{field}: {name}"] = entry(b"odd", spec_with(**{field: value}))
    for address in (
        "10.0.0.1:99999",
        "10.0.0.1:0",
        "10.0.0.1:-1",
        "10.0.0.1: 80",
        "10.0.0.1:+80",
        "10.0.0.1:8_0",
        "10.0.0.1:\uff18\uff10",
        "10.0.0.1:" + "9" * 5_000,
        "10.0.0.1\\r\\nX: y:80",
        ":80",
        "host name:80",
        "10.0.0.300:80",
    ):
        text = b'"' + address.encode() + b'"'
        odd[f"address {address[:20]!r}"] = entry(b"odd", spec_with(address=text))
    for name in (b"o\\r\\nX: y", b"o d", "\u00fc".encode(), b""):
        odd[f"name {name!r}"] = entry(name, spec_with())
    return odd


ODD = odd_entries()
SOUND = entry(b"i-1", spec_with())


def response(body):
    return HttpResponse(200, [(b"Store-Era", b"2")], body)


def page(*entries, more=False, as_of=5):
    return response(
        b'{"items":[%b],"hasMore":%b,"asOf":%d}'
        % (b",".join(entries), b"true" if more else b"false", as_of)
    )


def events(*changes, as_of=9):
    return response(
        b'{"events":[%b],"asOf":%d}'
        % (
            b",".join(b'{"object":%b,"deleted":false}' % each for each in changes),
            as_of,
        )
    )


class TestServers:
    @pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
    async def test_an_odd_entry_costs_itself_in_a_list(self, odd):
        """Guards against routers that stop following the list for one odd entry."""
        for entries in ((odd, SOUND), (SOUND, odd)):
            listing = await ObjectStore(FakeClient(page(*entries))).list_servers()
            assert [each.instance for each in listing.servers] == ["i-1"]
            assert listing.malformed == 1
            copied = decode_content(encode_content(listing), ServerListing)
            assert copied == listing

    @pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
    async def test_an_odd_entry_ends_a_page(self, odd):
        """Guards against reading no further than an entry without a name."""
        second = entry(b"i-2", spec_with())
        client = FakeClient(page(SOUND, odd, more=True), page(second))
        listing = await ObjectStore(client).list_servers()
        assert [each.instance for each in listing.servers] == ["i-1", "i-2"]

    @pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
    async def test_an_odd_entry_costs_itself_in_a_watch(self, odd):
        """Guards against a change that is never seen beside an odd one."""
        second = entry(b"i-2", spec_with())
        for changes in ((odd, second), (second, odd)):
            client = FakeClient(page(SOUND), events(*changes), page(SOUND, odd, second))
            store = ObjectStore(client)
            listing = await store.watch_servers(await store.list_servers(), 900)
            assert [each.instance for each in listing.servers] == ["i-1", "i-2"]

    async def test_a_page_of_odd_entries_alone_is_an_error(self):
        """Guards against an endless list or a part of it that counts as whole."""
        client = FakeClient(page(b"null", more=True))
        with pytest.raises(TransportError):
            await ObjectStore(client).list_servers()

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b"{",
            b'{"items":[}',
            b"null",
            b"\xff",
            b'{"items":null,"asOf":5}',
            b'{"items":{},"asOf":5}',
            b'{"items":[1]x,"asOf":5}',
        ],
    )
    async def test_a_broken_page_is_an_error(self, body):
        """Guards against a broken response that counts as an empty list."""
        with pytest.raises(TransportError):
            await ObjectStore(FakeClient(response(body))).list_servers()

    def test_numbers_may_be_decimal(self):
        """Guards against refusing a sound entry whose numbers are written otherwise."""
        assert (
            parse_server(item("i-1", ENTRY | {"coldRemainingMs": 12.5})).cold_ms == 12
        )


class TestOtherObjects:
    @pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
    async def test_an_odd_object_beside_the_configuration(self, odd):
        """Guards against a configuration that is not read for another object."""
        main = entry(b"main", msgspec.json.encode(SPEC))
        for entries in ((odd, main), (main, odd)):
            store = ObjectStore(FakeClient(page(*entries), events(*entries)))
            listed = await store.read_configuration()
            assert listed.configuration.version == 7
            watched = await store.watch_configuration(listed.store_revision, 900)
            assert watched.configuration.version == 7

    @pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
    async def test_an_odd_object_costs_itself_in_the_other_lists(self, odd):
        """Guards against losing routers, parts, versions or streams for one object."""
        router = entry(b"n-1", b'{"host":"10.0.0.1","port":7000}')
        part = entry(b"p", b'{"part":"p","crashes":3}')
        versions = entry(
            b"v",
            b'{"pool":"p","versions":["v1"],"leaving":[],"spanMs":5,'
            b'"completeInEra":1,"routes":[]}',
        )
        record = entry(
            b"r", b'{"groups":[{"pool":"p","version":"v1","streams":[["ff",5]]}]}'
        )
        for odd_first in (True, False):
            pages = [
                page(odd, sound) if odd_first else page(sound, odd)
                for sound in (router, part, versions, record)
            ]
            store = ObjectStore(FakeClient(*pages))
            assert (await store.list_routers())["n-1"] == ("10.0.0.1", 7000)
            assert (await store.list_refused_parts())["p"] == 3
            assert set((await store.list_version_sets(False)).by_pool) == {"p"}
            records = await store.list_stream_records(False)
            assert [each.name for each in records] == ["r"]

    @pytest.mark.parametrize(
        "value", [*UNREADABLE_VALUES.values(), *OUT_OF_RANGE.values()]
    )
    async def test_an_odd_lease_is_that_of_an_unknown_router(self, value):
        """Guards against permits that nobody can give out any more."""
        spec = b'{"node":"n","process":"1","era":0,"endsAfterMs":%b}' % value
        stored = await ObjectStore(
            FakeClient(response(entry(b"p", spec)))
        ).read_permit_lease("p")
        assert stored.record.node == "unknown"
        assert stored.revision.number == 3

    @pytest.mark.parametrize(
        "value", [*UNREADABLE_VALUES.values(), *OUT_OF_RANGE.values()]
    )
    async def test_odd_numbers_of_routers_streams_and_versions(self, value):
        """Guards against numbers that cannot be sent to another router."""
        record = (
            b'{"groups":[{"pool":"p","version":"v1","streams":[["f",%b]]}]}' % value
        )
        key = b'{"groups":[{"pool":"p","version":"v1","streams":[["%b",5]]}]}' % (
            b"f" * 20
        )
        versions = (
            b'{"pool":"p","versions":[],"leaving":[],"spanMs":%b,'
            b'"completeInEra":1,"routes":[]}' % value
        )
        store = ObjectStore(
            FakeClient(
                page(entry(b"r", record), entry(b"k", key)),
                page(entry(b"n", b'{"host":"10.0.0.1","port":%b}' % value)),
                page(entry(b"v", versions)),
            )
        )
        assert await store.list_stream_records(False) == []
        assert await store.list_routers() == {}
        sets = await store.list_version_sets(False)
        assert all(each.value.span_ms == 0 for each in sets.by_pool.values())

    @pytest.mark.parametrize("odd", [None, 5, {}, {"name": "x"}, {"name": 5}])
    @pytest.mark.parametrize("kind", ["routes", "services", "tenants"])
    async def test_an_odd_part_of_the_configuration_costs_itself(self, kind, odd):
        """Guards against a configuration that is never in force for one odd part."""
        spec = SPEC | {kind: [odd, *SPEC[kind]]}
        client = FakeClient({"items": [item("main", spec)], "asOf": 40})
        configuration = (await ObjectStore(client).read_configuration()).configuration
        assert configuration.malformed == (kind == "routes" or odd != {"name": "x"})
        assert configuration.find_route("ficu95.example", "/lohu/2f")
        assert configuration.pools["huvo11a"].max_connections == 370
        assert configuration.accounts["k2"].name == "hule930"
        decode_content(encode_content(configuration), type(configuration))

    @pytest.mark.parametrize("odd", [None, "5", -1, 1e300, [], True])
    async def test_an_odd_limit_has_its_default(self, odd):
        """Guards against a configuration that is never in force for one odd limit."""
        limits = {"maxBodyBytes": odd, "idleTimeoutMs": 9_000}
        client = FakeClient(
            {"items": [item("main", SPEC | {"limits": limits})], "asOf": 40}
        )
        configuration = (await ObjectStore(client).read_configuration()).configuration
        assert configuration.limits.max_body_bytes == 4_194_304
        assert configuration.limits.idle_timeout_ms == 9_000

    async def test_a_split_without_weights_costs_its_route(self):
        """Guards against a division by zero for each request of a route."""
        split = [{"service": "huvo11a", "weight": 0}]
        odd = SPEC["routes"][0] | {"trafficSplit": split, "pathPrefix": "/odd/"}
        spec = SPEC | {"routes": [odd, *SPEC["routes"]]}
        client = FakeClient({"items": [item("main", spec)], "asOf": 40})
        configuration = (await ObjectStore(client).read_configuration()).configuration
        assert [route.path_prefix for route in configuration.routes] == ["/lohu/"]

    @pytest.mark.parametrize("name", ["timeoutMs", "targetLatencyMs", "maxAttempts"])
    @pytest.mark.parametrize("value", ["5", 10**400, -5, 1e300])
    async def test_an_odd_number_costs_its_route(self, name, value):
        """Guards against a number that no other router can be told."""
        odd = SPEC["routes"][0] | {"name": "odd", "pathPrefix": "/odd/", name: value}
        spec = SPEC | {"routes": [odd, *SPEC["routes"]]}
        body = json.dumps({"items": [item("main", spec)], "asOf": 40}).encode()
        snapshot = await ObjectStore(FakeClient(response(body))).read_configuration()
        configuration = snapshot.configuration
        assert [route.name for route in configuration.routes] == ["r-1"]
        decode_content(encode_content(configuration), type(configuration))


class TestServersReports:
    @pytest.mark.parametrize(
        "odd",
        [
            *UNREADABLE_VALUES.values(),
            b"null",
            b"[]",
            b'["","p","x","m"]',
            b'["","p",%b,"m"]' % HUGE,
            b'["","p",1e300,"m"]',
            b'["","p",-1,"m"]',
        ],
    )
    def test_an_odd_part_costs_itself(self, odd):
        """Guards against an index of caches that lacks all parts of a server."""
        body = b'{"epoch":1,"held":[%b,["","a1",300,"m"]]}' % odd
        parts = HeaderDialect().parse_inventory(body)
        assert [(each.part_id, each.tokens) for each in parts] == [("a1", 300)]


class TestHeaders:
    @pytest.mark.parametrize(
        "number", [b"9" * 5_000, b"9" * 30, b"-1", b"1e3", "\u0663".encode()]
    )
    def test_an_odd_number_counts_as_missing(self, number):
        """Guards against an internal error for a number of thousands of digits."""
        headers = [
            (b"Host", b"a"),
            (b"X-Medlarridge-Request-Id", b"1"),
            (b"X-Medlarridge-Deadline-Ms", number),
            (b"X-Medlarridge-Prompt-Prefix", b"a1:" + number),
        ]
        metadata = HeaderDialect().parse_request(headers)
        assert metadata.deadline_ms is None
        assert metadata.prompt == ()
        head = HeaderDialect().parse_response(
            200, b"", [(b"Keep-Alive", b"timeout=" + number)]
        )
        assert head.keep_alive_ms is None


class TestDatagrams:
    @pytest.mark.parametrize(
        "data",
        [
            b"\x91" * 3_000,
            b"\xdc\x00\x40" + b"\x01" * 3 + b"\x91" * 5_000,
            b"\x81\xa1a" * 3_000,
            b"\xc1" * 10,
            b"",
        ],
    )
    def test_a_broken_one_is_refused(self, data):
        """Guards against a datagram that ends the task which reads them."""
        with pytest.raises(CodecError):
            decode_report(data)
        with pytest.raises(CodecError):
            decode_permit_message(PREFIX + data)
