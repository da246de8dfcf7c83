import re

import pytest
from prometheus_client.parser import text_string_to_metric_families

from .deployment import READ, STREAM
from .tree import ROOT

pytestmark = pytest.mark.anyio


def documented_names():
    """Return the metrics of the table on the page for operators."""
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    rows = [line.split("|")[1] for line in page.splitlines() if line.startswith("| `m")]
    return {name for row in rows for name in re.findall(r"`(medlarridge_\w+)", row)}


async def read_families(deployment):
    """Return the families of the metrics page by the names that operators use."""
    status, page = await deployment.get_metrics()
    assert status == 200
    return {
        each.name + ("_total" if each.type == "counter" else ""): each
        for each in text_string_to_metric_families(page.decode())
    }


def values(family, name=None):
    """Return the values of a family's samples by their labels."""
    return {
        tuple(sample.labels.values()): sample.value
        for sample in family.samples
        if sample.name == (name or family.name) or name is None
    }


class TestMetricsPage:
    async def test_it_has_what_operations_rely_on(self, serving):
        """Guards against a page that fails, or lacks documented metrics."""
        assert len(documented_names()) > 30
        families = await read_families(serving)
        assert documented_names() - set(families) == set()

    async def test_it_counts_requests(self, serving):
        """Guards against counters that stay at zero in the built router."""
        for _ in range(3):
            assert (await serving.send(READ)).served
        assert (await serving.send(STREAM)).served
        assert (await serving.send(READ, key="key-of-nobody")).status == 401
        families = await read_families(serving)
        by_outcome = families["medlarridge_requests_total"].samples
        served = {
            sample.labels["kind"]: sample.value
            for sample in by_outcome
            if sample.labels["outcome"] == "status-200"
        }
        assert sorted(served.values()) == [1, 3]
        attempts = values(families["medlarridge_attempts_total"])
        assert sorted(attempts.values()) == [1, 3]
        refusals = families["medlarridge_refusals_total"].samples
        assert [(s.labels["status"], s.value) for s in refusals] == [("401", 1)]
        counts = values(
            families["medlarridge_first_bytes_seconds"],
            "medlarridge_first_bytes_seconds_count",
        )
        assert sorted(counts.values()) == [1, 3]
        assert values(families["medlarridge_ready"]) == {(): 1}
        assert values(families["medlarridge_store_reachable"]) == {(): 1}
        assert values(families["medlarridge_servers"]) == {(): 2}
        assert values(families["medlarridge_configuration_version"]) == {(): 1}
