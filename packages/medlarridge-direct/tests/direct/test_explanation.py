import pytest

from medlarridge import UserError
from medlarridge_direct._internal.coordination.server_health import AttemptResult
from medlarridge_direct._internal.explanation import ExplainRequest, explain
from medlarridge_direct._internal.protocol.configuration import RouteKind
from medlarridge_direct._internal.request_handler import RequestHandler
from medlarridge_direct.commands.explain import print_explanation, read_parts

from .samples import configuration, listing, prompt, route, servers
from .scripted import make_components

PROMPT = [(part.part_id, part.tokens) for part in prompt()]


@pytest.fixture
def handler():
    components = make_components()
    stream = route(RouteKind.STREAM, uses_prompt_cache=True)
    components.configuration.update(configuration(stream), components.clock.now_ms())
    components.servers.update(listing(*servers(4)), components.clock.now_ms())
    return RequestHandler(components, log=None)


def explain_for(handler, prompt=PROMPT, path="/plan/a", account="planners"):
    return explain(handler, ExplainRequest("desk.example", path, account, prompt))


class TestExplain:
    def test_the_first_candidate_is_the_server_that_requests_get(self, handler):
        """Guards against an explanation that differs from the decision."""
        components = handler.components
        explanation = explain_for(handler)
        ranked = components.placement.rank(components.servers.ready("models"), prompt())
        assert [each.server for each in explanation.candidates] == [
            server.instance for server in ranked
        ]
        assert explanation.outcome == f"sent to {ranked[0].instance}"
        assert "rendezvous" in explanation.decided_by

    def test_a_holder_is_named_as_such(self, handler):
        """Guards against a reader who cannot tell why a chat went where it did."""
        handler.components.placement.cache_index.record_prompt(prompt(), "s-2")
        explanation = explain_for(handler)
        assert explanation.candidates[0].server == "s-2"
        assert explanation.candidates[0].held_tokens == 10_500
        assert explanation.decided_by == "holds the shared part of the prompt"

    def test_load_and_health_are_shown(self, handler):
        """Guards against an explanation that hides why a server is passed over."""
        components = handler.components
        for _ in range(20):
            components.load.begin_attempt("s-0")
        components.health.record_result("s-1", AttemptResult.UNREACHABLE)
        explanation = explain_for(handler, prompt=[])
        by_server = {each.server: each for each in explanation.candidates}
        assert by_server["s-0"].load == 20
        assert by_server["s-0"].over_limit
        assert "s-1" not in by_server
        assert explanation.candidates[-1].server == "s-0"

    @pytest.mark.parametrize(
        ("change", "outcome"),
        [({"path": "/none/"}, "404"), ({"account": "strangers"}, "401")],
    )
    def test_what_is_not_allowed_is_said_with_its_status(
        self, handler, change, outcome
    ):
        """Guards against a server named for a request that gets none."""
        explanation = explain_for(handler, **change)
        assert explanation.outcome.startswith(outcome)
        assert explanation.candidates == []

    def test_asking_changes_nothing(self, handler):
        """Guards against a look that counts as work."""
        cache = handler.components.placement.cache_index
        explain_for(handler)
        assert cache.entries() == []
        assert handler.components.load.own == {}


class TestExplainCommand:
    def test_parts_are_read(self):
        """Guards against a prompt whose order or sizes are lost."""
        assert read_parts("aa:10, b:b:20") == [("aa", 10), ("b:b", 20)]

    @pytest.mark.parametrize("text", ["aa", "aa:x", ":3"])
    def test_a_malformed_part_is_named(self, text):
        """Guards against a typing error that is taken for an empty prompt."""
        with pytest.raises(UserError) as raised:
            read_parts(text)
        assert text in raised.value.cause

    def test_each_server_has_a_line(self, handler, capsys):
        """Guards against candidates that are left out of what is printed."""
        print_explanation(explain_for(handler))
        lines = capsys.readouterr().out.splitlines()
        assert lines[0].startswith("sent to s-")
        assert sum("holds 0 tokens" in line for line in lines) == 4
