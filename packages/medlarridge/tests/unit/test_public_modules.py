import importlib
import inspect
import os
import subprocess
import sys
from dataclasses import is_dataclass

import pytest

PUBLIC_MODULES = ["", ".coordination", ".protocol", ".state", ".transport"]
EXPORTS = [
    (module, name)
    for module in (
        importlib.import_module(f"medlarridge{suffix}") for suffix in PUBLIC_MODULES
    )
    for name in module.__all__
]
HTTP_LIBRARIES = {"hypercorn", "httpx"}


def modules_loaded_by(module):
    """Return the top-level modules that a fresh interpreter has after an import."""
    code = f"import sys, {module}; print(*{{n.split('.')[0] for n in sys.modules}})"
    # pytest extends the path of its own interpreter only.
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    command = [sys.executable, "-c", code]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=True, env=environment
    )
    return set(completed.stdout.split())


def own_docstring(item):
    """Return the docstring written for the item itself, not a generated one."""
    text = vars(item).get("__doc__") if inspect.isclass(item) else item.__doc__
    generated = is_dataclass(item) and (text or "").startswith(f"{item.__name__}(")
    return "" if generated else (text or "").strip()


class TestPublicModules:
    @pytest.mark.parametrize(
        ("module", "name"),
        EXPORTS,
        ids=[f"{module.__name__}.{name}" for module, name in EXPORTS],
    )
    def test_name_exists_and_is_documented(self, module, name):
        """Guards against exports that were renamed or have no docstring."""
        assert not name.startswith("_")
        assert own_docstring(getattr(module, name))

    @pytest.mark.parametrize("suffix", PUBLIC_MODULES)
    def test_no_name_is_listed_twice(self, suffix):
        """Guards against a name that hides another one of the same module."""
        names = importlib.import_module(f"medlarridge{suffix}").__all__
        assert len(names) == len(set(names))

    def test_coordination_loads_no_http_library(self):
        """Guards against an import of HTTP libraries in programs that embed the parts."""
        assert modules_loaded_by("medlarridge.coordination") & HTTP_LIBRARIES == set()

    def test_check_of_loaded_modules_sees_http_libraries(self):
        """Guards against a vacuous result of ``modules_loaded_by`` in the test above."""
        assert (
            modules_loaded_by("medlarridge.transport") & HTTP_LIBRARIES
            == HTTP_LIBRARIES
        )
