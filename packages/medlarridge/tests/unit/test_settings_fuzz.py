"""Guards against invalid settings files that do not raise UserError."""

import tempfile
from pathlib import Path

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from medlarridge._internal.errors import UserError
from medlarridge._internal.settings import (
    RouterSettings,
    SidecarSettings,
    load_settings,
)

SEED = 2207
KEYS = sorted({*RouterSettings.model_fields, *SidecarSettings.model_fields, "other"})
scalars = (
    st.integers(-(2**70), 2**70).map(str)
    | st.floats().map(str)
    | st.sampled_from(["true", "1979-05-27", "[]", "{}", '"127.0.0.1:70000"', '""'])
    | st.text(st.characters(codec="utf-8"), max_size=8).map(lambda text: f"'{text}'")
)
lines = st.lists(st.tuples(st.sampled_from(KEYS), scalars), max_size=8)
files = lines.map(
    lambda pairs: "\n".join(f"{key} = {value}" for key, value in pairs).encode()
)


class TestSettingsFuzz:
    @seed(SEED)
    @settings(max_examples=400, deadline=None, database=None)
    @given(files | st.binary(max_size=60), st.booleans())
    def test_file(self, content, router):
        model = RouterSettings if router else SidecarSettings
        check(content, model)

    def test_deep_nesting(self):
        check(b"link = " + b"[" * 5_000, RouterSettings)


def check(content, model):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "settings.toml"
        path.write_bytes(content)
        with pytest.raises(UserError) as raised:
            load_settings(path, model)
    assert raised.value.message
