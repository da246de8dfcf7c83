"""A copy of the sources, built as deploy/system.toml says."""

import os
import shutil
import subprocess
import sys
import tomllib
from importlib.metadata import distribution
from pathlib import Path

ROOT = Path(__file__).parents[4]
COPIED = (
    "deploy/system.toml",
    "platform",
    "packages/medlarridge/src",
    "packages/medlarridge-direct/src",
)
SEARCH_PATH = os.pathsep.join([str(Path(sys.executable).parent), os.environ["PATH"]])
"""``python3`` is the interpreter of the tests, for which the libraries are built."""


class BuiltTree:
    """The built program below ``root``."""

    def __init__(self, root: Path) -> None:
        self.root = root
        self.dependencies = root / "target/deps"
        self.system = tomllib.loads((ROOT / "deploy/system.toml").read_text())

    def build(self) -> None:
        """Copy the sources and build them, with the libraries of the tests."""
        for path in COPIED:
            target = self.root / path
            target.parent.mkdir(parents=True, exist_ok=True)
            if (ROOT / path).is_dir():
                shutil.copytree(
                    ROOT / path, target, ignore=shutil.ignore_patterns("__pycache__")
                )
            else:
                shutil.copy(ROOT / path, target)
        self.install_dependencies()
        self.run(self.system["build"].split())

    def install_dependencies(self) -> None:
        """Install the required versions from the tests' environment.

        The build then finds them installed, and needs no network.
        """
        requirements = self.root / "platform/requirements.txt"
        for line in requirements.read_text().split():
            name, _, version = line.partition("==")
            installed = distribution(name)
            assert installed.version == version, (name, installed.version, version)
            for file in installed.files or ():
                if ".." in file.parts or "__pycache__" in file.parts:
                    continue
                target = self.dependencies / file
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(str(file.locate()), target)
        checksum = subprocess.run(
            ["cksum"], input=requirements.read_bytes(), capture_output=True, check=True
        )
        (self.root / "target/.installed").write_bytes(checksum.stdout)

    def run(self, arguments: list[str]) -> str:
        """Run a program in the tree as the platform does; return what it prints."""
        completed = subprocess.run(
            arguments,
            cwd=self.root,
            env=self.environment(),
            capture_output=True,
            text=True,
            check=False,
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr
        return completed.stdout

    def environment(self) -> dict[str, str]:
        """Return the environment of the program: the libraries are on Python's path."""
        return {"PATH": SEARCH_PATH, "PYTHONPATH": str(self.dependencies)}

    def command(self, clients: str) -> list[str]:
        """Return the command that starts a router for an address of clients."""
        run = self.system["roles"]["router"]["run"]
        return run.replace("{{listen.front}}", clients).split()
