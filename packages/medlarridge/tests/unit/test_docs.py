import importlib
import pkgutil
import re
from pathlib import Path

import pytest

import medlarridge
import medlarridge_direct
import medlarridge_router
import medlarridge_sidecar
from medlarridge import coordination, protocol, state
from medlarridge._internal.events import EVENTS
from medlarridge._internal.metrics import RouterMetrics, SidecarMetrics
from medlarridge._internal.protocol.messages import Outcome, Refusal
from medlarridge._internal.protocol.tables import Pool, Route
from medlarridge._internal.settings import (
    LogSettings,
    RouterSettings,
    SidecarSettings,
    load_settings,
)
from medlarridge._internal.tables_file import check_tables_file
from medlarridge_router.commands import COMMANDS as ROUTER_COMMANDS
from medlarridge_sidecar.commands import COMMANDS as SIDECAR_COMMANDS

ROOT = Path(__file__).parents[4]
DOCS = ROOT / "docs"
PAGES = sorted([ROOT / "README.md", *DOCS.rglob("*.md")])
LINK = re.compile(r"\]\(([^)#\s]+)[^)]*\)")
COMMAND = re.compile(r"python -m medlarridge_(router|sidecar) +([a-z]+)")
MAKE_TARGET = re.compile(r"(?:^ {4}|`)make ([a-z]+)", re.MULTILINE)
EVENT_ROW = re.compile(r"^\| MR(\d{4}) \| (\w+) \| ([^|]+?) \| ([^|]+?) \|$", re.M)
KEY_ROW = re.compile(r"^\| `([a-z_.]+)` \|[^|]+\|[^|]*\|([^|]+)\|", re.M)
CLASS_NAME = re.compile(r"`([A-Z][A-Za-z]+)`")
PART_ROW = re.compile(r"^\| `([A-Z]\w+)` \| ([^|]+) \|", re.MULTILINE)


def page(name):
    return (DOCS / name).read_text()


def import_all(package):
    for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


class TestLinks:
    @pytest.mark.parametrize("path", PAGES, ids=lambda path: path.name)
    def test_linked_files_exist(self, path):
        """Guards against links to pages that were moved or do not exist."""
        links = [link for link in LINK.findall(path.read_text()) if "://" not in link]
        missing = [link for link in links if not (path.parent / link).exists()]
        assert missing == []

    def test_readme_links_every_page(self):
        """Guards against pages that the README does not link."""
        linked = {
            (ROOT / link).resolve() for link in LINK.findall(PAGES[0].read_text())
        }
        assert PAGES[0].name == "README.md"
        assert set(DOCS.glob("*.md")) <= linked


class TestCommands:
    @pytest.mark.parametrize("path", PAGES, ids=lambda path: path.name)
    def test_named_commands_exist(self, path):
        """Guards against pages that name missing commands or make targets."""
        commands = {"router": ROUTER_COMMANDS, "sidecar": SIDECAR_COMMANDS}
        text = path.read_text()
        named = COMMAND.findall(text)
        assert [use for use in named if use[1] not in commands[use[0]]] == []
        targets = re.findall(r"^([a-z]+):", (ROOT / "Makefile").read_text(), re.M)
        assert set(MAKE_TARGET.findall(text)) <= set(targets)


class TestExamples:
    def test_examples_are_valid(self):
        """Guards against examples that the daemons refuse."""
        load_settings(ROOT / "examples" / "router.toml", RouterSettings)
        load_settings(ROOT / "examples" / "sidecar.toml", SidecarSettings)
        assert check_tables_file(ROOT / "examples" / "tables.toml").is_ok()


class TestSettingsPage:
    def test_every_key_is_listed_with_its_default(self):
        """Guards against documented keys and defaults that differ from the models."""
        rows = {(key, default.strip()) for key, default in self.rows()}
        expected = set()
        for model in (RouterSettings, SidecarSettings):
            for name, field in model.model_fields.items():
                expected.add((name, shown_default(name, field)))
        for name, field in LogSettings.model_fields.items():
            expected.add((f"log.{name}", shown_default(name, field)))
        assert rows == expected

    def rows(self):
        return KEY_ROW.findall(page("settings.md"))


def shown_default(name, field):
    if field.is_required():
        return "required"
    if name == "log":
        return "see below"
    value = field.default
    text = f'"{value}"' if isinstance(value, str) else str(value).lower()
    return f"`{text}`"


class TestLogEventsPage:
    def test_every_event_is_listed(self):
        """Guards against a page that differs from the registered events."""
        for package in (
            medlarridge,
            medlarridge_direct,
            medlarridge_router,
            medlarridge_sidecar,
        ):
            import_all(package)
        listed = EVENT_ROW.findall(page("log-events.md"))
        rows = {(int(number), level, text) for number, level, text, _ in listed}
        assert len(rows) == len(listed)
        assert rows == {(e.number, e.level, e.text) for e in EVENTS.values()}


class TestOperatorsPage:
    @pytest.mark.parametrize("model", [Route, Pool])
    def test_every_key_of_the_tables_is_listed(self, model):
        """Guards against keys of the tables that are not documented."""
        text = page("operators.md")
        assert [name for name in model.model_fields if f"`{name}`" not in text] == []

    def test_every_metric_is_listed(self):
        """Guards against undocumented metrics and alarms on metrics that do not exist."""
        names = {"medlarridge_control_bytes_total"}
        for metrics in (RouterMetrics(), SidecarMetrics()):
            for family in metrics.registry.collect():
                suffix = "_total" if family.type == "counter" else ""
                names.add(family.name + suffix)
        listed = re.findall(r"`(medlarridge_[a-z_]+)", page("operators.md"))
        assert set(listed) == names


class TestLibraryPage:
    def test_names_of_the_parts_are_exported(self):
        """Guards against documented parts that the public modules do not export."""
        public_modules = (coordination, protocol, state)
        exported = {name for module in public_modules for name in module.__all__} | {
            "StoreError"
        }
        rows = [row for row in page("library.md").splitlines() if row.startswith("|")]
        named = {word for row in rows for word in CLASS_NAME.findall(row)}
        assert named
        assert named <= exported

    def test_methods_of_the_parts_exist(self):
        """Guards against documented methods that a part does not have."""
        missing = []
        for part, events in PART_ROW.findall(page("library.md")):
            listed = vars(state).get(part) or getattr(coordination, part)
            known = {*dir(listed), *getattr(listed, "__dataclass_fields__", ())}
            words = re.findall(r"`([a-z_]+)`", events)
            missing += [(part, word) for word in words if word not in known]
        assert missing == []


class TestProtocolPage:
    def test_every_outcome_and_reason_is_listed(self):
        """Guards against outcomes and reasons that are not documented."""
        text = page("protocol.md")
        words = [*Outcome, *Refusal]
        assert [word for word in words if f"`{word}`" not in text] == []
