import re
import tomllib
from pathlib import Path

import msgspec
import pytest

from medlarridge import UserError
from medlarridge_direct._internal.settings import DirectSettings, load_settings

TEMPLATE = Path(__file__).parents[4] / "platform" / "router.toml.template"
VALUES = {
    "nodeName": "front-1",
    "role": "router",
    "ip": "10.1.0.40",
    "zone": "zone-anfa",
    "bootstrap|json": "true",
    "limits.linkMbps": "100.0",
    "listen.front": "10.1.0.40:8227",
    "listen.readinessAddress": "10.1.0.40:8220",
    "internalPortRange.0": "7340",
    "platform.address": "10.200.1.7:8223",
    "bounds.graceS": "8",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.budgetSlack": "56",
    "bounds.budgetWindowS": "10",
    "bounds.capFactor": "2",
}


def fill(values):
    text = re.sub(
        r"\{\{#(.*?)\}\}(.*?)\{\{/\1\}\}",
        lambda found: (
            found[2].replace("{{.}}", values[found[1]]) if found[1] in values else ""
        ),
        TEMPLATE.read_text(),
    )
    return re.sub(r"\{\{(.*?)\}\}", lambda found: values[found[1]], text)


class TestTemplate:
    def test_it_makes_valid_settings(self):
        """Guards against a router that does not start on the platform."""
        settings = msgspec.convert(tomllib.loads(fill(VALUES)), DirectSettings)
        assert settings.data_centre == "zone-anfa"
        assert settings.first_start
        assert settings.grace_ms == 8_000
        assert settings.retries.slack == 56

    def test_bounds_that_are_not_in_force_have_defaults(self):
        """Guards against a deployment without some of the rules."""
        values = {name: value for name, value in VALUES.items() if "bounds" not in name}
        settings = msgspec.convert(tomllib.loads(fill(values)), DirectSettings)
        assert settings.retries.window_s == 10


class TestLoadSettings:
    @pytest.mark.parametrize(
        ("change", "cause"),
        [
            (("7340", "70000"), "peer_port"),
            (('"10.1.0.40:8227"', '"somewhere"'), "clients"),
            (("[store]", "[shop]"), "shop"),
            (("ratio = 0.2", "ratio = -1"), "ratio"),
            (("node =", "node"), "line 1"),
        ],
    )
    def test_a_mistake_is_named(self, tmp_path, change, cause):
        """Guards against a start that fails without saying where."""
        path = tmp_path / "router.toml"
        path.write_text(fill(VALUES).replace(*change))
        with pytest.raises(UserError) as raised:
            load_settings(path)
        assert cause in raised.value.cause

    def test_a_missing_file_is_named(self, tmp_path):
        """Guards against a trace in place of a message."""
        with pytest.raises(UserError):
            load_settings(tmp_path / "none.toml")
