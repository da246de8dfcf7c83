import importlib
import inspect
import os
import subprocess
import sys
from dataclasses import is_dataclass

import pytest

FACES = ["", ".coordination", ".protocol", ".state", ".transport"]
CASES = [
    (face, name)
    for face in (importlib.import_module(f"medlarridge{each}") for each in FACES)
    for name in face.__all__
]
HTTP_LIBRARIES = {"hypercorn", "httpx"}


def loaded_by(module):
    """Return the top-level modules that a fresh interpreter has after an import."""
    code = f"import sys, {module}; print(*{{n.split('.')[0] for n in sys.modules}})"
    # pytest extends the path of its own interpreter only.
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    command = [sys.executable, "-c", code]
    found = subprocess.run(
        command, capture_output=True, text=True, check=True, env=environment
    )
    return set(found.stdout.split())


def own_docstring(item):
    """Return the docstring written for the item itself, not a generated one."""
    text = vars(item).get("__doc__") if inspect.isclass(item) else item.__doc__
    generated = is_dataclass(item) and (text or "").startswith(f"{item.__name__}(")
    return "" if generated else (text or "").strip()


class TestPublicFace:
    @pytest.mark.parametrize(
        ("face", "name"), CASES, ids=[f"{face.__name__}.{name}" for face, name in CASES]
    )
    def test_name_exists_and_is_documented(self, face, name):
        """Guards against exports that were renamed or that nobody can look up."""
        assert not name.startswith("_")
        assert own_docstring(getattr(face, name))

    @pytest.mark.parametrize("each", FACES)
    def test_no_name_is_listed_twice(self, each):
        """Guards against one name that hides another of the same face."""
        names = importlib.import_module(f"medlarridge{each}").__all__
        assert len(names) == len(set(names))

    def test_coordination_loads_no_http_library(self):
        """Guards against embedders who must install and load HTTP servers."""
        assert loaded_by("medlarridge.coordination") & HTTP_LIBRARIES == set()

    def test_check_of_loaded_modules_sees_http_libraries(self):
        """Guards against a check above that cannot fail."""
        assert loaded_by("medlarridge.transport") & HTTP_LIBRARIES == HTTP_LIBRARIES
