import json

import pytest

from medlarridge._internal.protocol.tables import Problem
from medlarridge._internal.tables_file import (
    MAX_FILE_BYTES,
    NAME_RULE,
    check_tables_file,
)

POOL = {"kind": "engine", "data_centres": ["lazaro-c"]}
ROUTE = {"pools": ["planning"]}


@pytest.fixture
def check(tmp_path):
    def check_text(text, suffix=".json"):
        path = tmp_path / f"tables{suffix}"
        path.write_text(text, encoding="utf-8")
        return check_tables_file(path)

    return check_text


def content(route=None, pool=None, route_name="plan"):
    return json.dumps(
        {
            "routes": {route_name: {**ROUTE, **(route or {})}},
            "pools": {"planning": {**POOL, **(pool or {})}},
        }
    )


class TestCheckTablesFile:
    def test_toml_and_json_give_the_same_tables(self, check):
        """Guards against an edit that depends on the file's format."""
        toml = (
            '[routes.plan]\npools = ["planning"]\n'
            '[pools.planning]\nkind = "engine"\ndata_centres = ["lazaro-c"]\n'
        )
        assert check(toml, ".toml").unwrap() == check(content()).unwrap()

    @pytest.mark.parametrize(
        ("text", "key", "allowed"),
        [
            (
                content(route={"deadline_ms": 1}),
                "routes.plan.deadline_ms",
                "an integer from 100 up to 600000",
            ),
            (
                content(route={"repeatable": "no"}),
                "routes.plan.repeatable",
                "true or false",
            ),
            (
                content(pool={"kind": "gpu"}),
                "pools.planning.kind",
                "one of engine, service",
            ),
            (
                content(pool={"load_bound": 1}),
                "pools.planning.load_bound",
                "a number above 1.0 up to 10.0",
            ),
            (
                content(route={"pools": []}),
                "routes.plan.pools",
                "a list of 1 to 8 items",
            ),
            (content(route={"pools": [7]}), "routes.plan.pools.0", NAME_RULE),
            (content(route_name="Plan!"), "routes.Plan!", NAME_RULE),
            (
                content(route={"account_limits": {"a": {"burst": 5}}}),
                "routes.plan.account_limits.a.requests_per_s",
                "a number above 0 up to 100000",
            ),
            (
                content(route={"account_limit": {"rate": 5, "requests_per_s": 5}}),
                "routes.plan.account_limit.rate",
                "the keys requests_per_s, burst",
            ),
            ('{"tables": {}}', "tables", "the keys versions, routes, pools"),
            ('{"versions": {"pools": -1}}', "versions.pools", "an integer from 0"),
            ('{"routes": []}', "routes", "a table"),
            (
                content(route={"pools": ["none"]}),
                "routes.plan.pools",
                "names of the pools table",
            ),
        ],
    )
    def test_reports_the_key_and_the_allowed_values(self, check, text, key, allowed):
        """Guards against errors that do not name the key and its allowed values."""
        problems = check(text).unwrap_err()
        assert [(p.key, p.allowed) for p in problems] == [(key, allowed)]

    def test_reports_all_invalid_references(self, check):
        """Guards against a check that stops at the first invalid reference."""
        service = {"kind": "service", "data_centres": ["lazaro-c"]}
        tables = json.loads(content(route={"pools": ["planning", "ledger"]}))
        tables["pools"]["ledger"] = service
        tables["routes"]["answers"] = {"pools": ["none"]}
        problems = check(json.dumps(tables)).unwrap_err()
        assert [p.key for p in problems] == [
            "routes.plan.pools",
            "routes.answers.pools",
        ]
        assert "mixes engine and service" in problems[0].message

    @pytest.mark.parametrize(
        ("text", "suffix", "message"),
        [
            ('{"routes": {"a": {}, "a": {}}}', ".json", "key 'a' appears twice"),
            ("{", ".json", "cannot parse"),
            ("[routes", ".toml", "cannot parse"),
            ("[" * 100_000, ".json", "cannot parse"),
            ("", ".yaml", "suffix"),
            (" " * (MAX_FILE_BYTES + 1), ".json", "bytes"),
        ],
    )
    def test_refuses_files_it_cannot_parse(self, check, text, suffix, message):
        """Guards against a crash or a partly read file on malformed input."""
        (problem,) = check(text, suffix).unwrap_err()
        assert message in problem.message

    def test_missing_file(self, tmp_path):
        """Guards against an exception for a path that does not exist."""
        problems = check_tables_file(tmp_path / "absent.toml").unwrap_err()
        assert problems == [
            Problem("", "cannot read the file: No such file or directory")
        ]
