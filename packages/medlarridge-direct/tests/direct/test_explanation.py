import pytest

from medlarridge import UserError
from medlarridge_direct._internal.coordination.server_health import AttemptResult
from medlarridge_direct._internal.explanation import ExplainRequest, explain
from medlarridge_direct._internal.protocol.configuration import RouteKind
from medlarridge_direct._internal.request_handler import RequestHandler
from medlarridge_direct.commands.explain import parse_prompt, print_explanation

from .samples import configuration, listing, prompt, route, servers
from .scripted import make_components

PROMPT_PARTS = [(part.part_id, part.tokens) for part in prompt()]


@pytest.fixture
def handler():
    components = make_components()
    stream = route(RouteKind.STREAM, uses_prompt_cache=True)
    components.configuration.apply_if_newer(
        configuration(stream), components.clock.now_ms()
    )
    components.servers.update(listing(*servers(4)), components.clock.now_ms())
    return RequestHandler(components, log=None)


def explain_for(handler, prompt=PROMPT_PARTS, path="/plan/a", account="planners"):
    return explain(handler, ExplainRequest("desk.example", path, account, prompt))


class TestExplain:
    def test_first_candidate_is_the_selected_server(self, handler):
        """Guards against an explanation that differs from the actual selection."""
        components = handler.components
        explanation = explain_for(handler)
        ranked = components.placement.rank(components.servers.ready("models"), prompt())
        assert [each.server for each in explanation.candidates] == [
            server.instance for server in ranked
        ]
        assert explanation.outcome == f"sent to {ranked[0].instance}"
        assert "rendezvous" in explanation.decided_by

    def test_server_with_cached_prompt_is_explained(self, handler):
        """Guards against an explanation that omits why a chat stays at its server."""
        handler.components.placement.cache_index.record_prompt(prompt(), "s-2")
        explanation = explain_for(handler)
        assert explanation.candidates[0].server == "s-2"
        assert explanation.candidates[0].held_tokens == 10_500
        assert explanation.decided_by == "holds the shared part of the prompt"

    def test_load_and_health_are_shown(self, handler):
        """Guards against an explanation that omits why a server is not selected."""
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
    def test_rejection_is_explained_with_its_status(self, handler, change, outcome):
        """Guards against candidates for a request that would be rejected."""
        explanation = explain_for(handler, **change)
        assert explanation.outcome.startswith(outcome)
        assert explanation.candidates == []

    def test_explaining_changes_no_state(self, handler):
        """Guards against explain requests that count as load or as cached prompts."""
        cache_index = handler.components.placement.cache_index
        explain_for(handler)
        assert cache_index.entries() == []
        assert handler.components.load.own == {}


class TestExplainCommand:
    def test_parts_are_read(self):
        """Guards against prompt parts that lose their order or number of tokens."""
        assert parse_prompt("aa:10, b:b:20") == [("aa", 10), ("b:b", 20)]

    @pytest.mark.parametrize("text", ["aa", "aa:x", ":3"])
    def test_error_names_malformed_part(self, text):
        """Guards against a mistyped prompt that is parsed as an empty one."""
        with pytest.raises(UserError) as raised:
            parse_prompt(text)
        assert text in raised.value.cause

    def test_each_candidate_is_printed(self, handler, capsys):
        """Guards against candidates that are missing from the output."""
        print_explanation(explain_for(handler))
        lines = capsys.readouterr().out.splitlines()
        assert lines[0].startswith("sent to s-")
        assert sum("holds 0 tokens" in line for line in lines) == 4
