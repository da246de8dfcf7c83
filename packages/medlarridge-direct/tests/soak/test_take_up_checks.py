from .content import stream_event_count
from .samples import LONG, make_request, make_run, make_span, violated_rules


class TestStreamsTakenUp:
    """A router that is ready at 100 s; streams are taken up at 104 s."""

    def servers(self, versions=("v1", "v1", "v2"), stopped_s=None, pool="talk"):
        records = [
            {"event": "acked", "state": "ready", "at": 50.0, "version": version}
            | {"server": f"i-{number}", "pool": pool}
            for number, version in enumerate(versions)
        ]
        if stopped_s is not None:
            stop = {"event": "told-to-stop", "at": stopped_s, "server": "i-0"}
            records.append(stop | {"pool": pool})
        return records

    def streams(self, count=12, went_on=0, began=10, sent_s=104.0):
        times = {"process": 1, "sent_s": sent_s, "ended_s": sent_s + 0.1}
        requests = []
        for number in range(count):
            first = make_request(
                LONG, request_id=f"a-{number}", version="v1", complete=False
            )
            requests.append(
                make_request(
                    LONG,
                    request_id=f"b-{number}",
                    first=first,
                    after=1,
                    version="v1",
                    status=200 if number < went_on else 503,
                    **times,
                )
            )
        requests += [
            make_request(
                LONG,
                request_id=f"n-{number}",
                status=200 if number < began else 503,
                **times,
            )
            for number in range(10)
        ]
        return requests

    def violations(self, servers=None, span=None, **changes):
        return violated_rules(
            *self.streams(**changes),
            records=self.servers() if servers is None else servers,
            ready_spans=[span or make_span()],
        )

    def test_streams_that_do_not_go_on_are_found(self):
        """Guards against routers that refuse all streams begun before a restart."""
        assert self.violations() == ["LOST"]
        assert self.violations(went_on=5) == ["LOST"]
        assert self.violations(went_on=6) == []

    def test_the_share_is_compared_with_that_of_new_streams(self):
        """Guards against blaming take-ups for what all streams suffer."""
        assert self.violations(went_on=3, began=5) == []
        assert self.violations(went_on=2, began=5) == ["LOST"]

    def test_each_stream_counts_once(self):
        """Guards against refused attempts that outweigh a stream that goes on."""
        requests = self.streams(went_on=12)
        refused = self.streams(went_on=0)[:12]
        for request in refused:
            request.request_id += "-again"
        assert (
            violated_rules(
                *requests, *refused, records=self.servers(), ready_spans=[make_span()]
            )
            == []
        )

    def test_few_streams_are_no_share(self):
        """Guards against a share of a handful of streams."""
        assert self.violations(count=11) == []

    def test_only_routers_in_touch_count(self):
        """Guards against blaming routers that have just started or are stopped."""
        assert self.violations(sent_s=102.9) == []
        assert self.violations(span=make_span(ended_s=104.05)) == []
        assert self.violations(span=make_span(process=2)) == []

    def test_two_servers_of_the_version_must_serve(self):
        """Guards against asking for streams that no server could go on with."""
        assert self.violations(self.servers(("v1", "v2", "v2"))) == []
        assert self.violations(self.servers(stopped_s=104.05)) == []
        assert self.violations(self.servers(stopped_s=105.0)) == ["LOST"]
        assert self.violations(self.servers(pool="desk")) == []

    def test_a_stream_joined_from_two_versions_is_found(self):
        """Guards against a rest of another version, over a client's tries."""
        first = make_request(LONG, request_id="a", version="v1", complete=False)
        rest = make_request(LONG, request_id="b", first=first, after=1, version="v1")
        rest.violations.append("ORDER: body differs from the expected response")
        run = make_run(rest, deadline_ms=6_000, after=1)
        assert violated_rules(rest, records=[run]) == ["ORDER"]
        assert stream_event_count("a") > 1
