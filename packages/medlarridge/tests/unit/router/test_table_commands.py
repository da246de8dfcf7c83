import json
import socket
from dataclasses import dataclass

import cappa
import pytest

from medlarridge._internal.clock import ManualClock
from medlarridge._internal.command_line import ExitStatus
from medlarridge._internal.errors import UserError
from medlarridge._internal.state.memory import MemoryStore
from medlarridge._internal.tables_admin import TablesAdmin
from medlarridge_router.commands import COMMANDS, Apply, Check, Get, History, Undo

TABLES = """
[versions]
routes = 0
pools = 0
[routes.plan]
pools = ["planning"]
[pools.planning]
kind = "engine"
data_centres = ["lazaro-c"]
"""


@cappa.command(name="medlarridge-router")
@dataclass
class Router:
    command: cappa.Subcommands[Apply | Check | Get | History | Undo]


@pytest.fixture
def call(tmp_path, monkeypatch, capsys):
    monkeypatch.delenv("MEDLARRIDGE_STORE", raising=False)
    monkeypatch.setenv("MEDLARRIDGE_WHO", "maria")
    admin = TablesAdmin(MemoryStore(), ManualClock(1_000))

    async def call_command(*argv):
        argv = [*argv] if argv[0] == "check" else [*argv, "--store", "http://127.0.0.1"]
        command = cappa.parse(Router, argv=argv).command
        status = command() if argv[0] == "check" else await command.run(admin)
        return status, capsys.readouterr()

    return call_command


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "tables.toml"
    path.write_text(TABLES)
    return path


class TestTableCommands:
    def test_all_commands_are_listed(self):
        """Guards against commands that are missing in the command line."""
        assert set(COMMANDS) == {
            "apply",
            "check",
            "explain",
            "get",
            "history",
            "serve",
            "status",
            "undo",
            "version",
        }

    async def test_check_names_file_key_and_allowed_values(self, call, file):
        """Guards against messages that do not locate the mistake."""
        assert (await call("check", str(file)))[0] is ExitStatus.OK
        file.write_text(TABLES.replace('"engine"', '"gpu"'))
        status, output = await call("check", str(file))
        assert status is ExitStatus.FAILED
        assert f"error: {file}: pools.planning.kind: " in output.err
        assert "hint: allowed: one of engine, service" in output.err

    async def test_check_reads_settings_files(self, call, tmp_path):
        """Guards against invalid settings that are only found at the start."""
        path = tmp_path / "router.toml"
        path.write_text('link = "127.0.0.1:1"')
        with pytest.raises(UserError) as caught:
            await call("check", str(path), "--settings")
        assert "callers: Field required" in caught.value.cause

    async def test_output_of_get_can_be_applied(self, call, file):
        """Guards against output that must be converted before it is applied."""
        await call("apply", str(file))
        content = json.loads((await call("get"))[1].out)
        content["pools"]["planning"]["load_bound"] = 1.5
        edited = file.with_suffix(".json")
        edited.write_text(json.dumps(content))
        status, output = await call("apply", str(edited))
        assert status is ExitStatus.OK
        assert "pools: version 5 (~planning)" in output.out
        assert "routes: no change" in output.out

    async def test_conflict_has_its_own_status_and_names_the_operator(self, call, file):
        """Guards against version conflicts that look like other failures."""
        await call("apply", str(file))
        file.write_text(TABLES.replace("lazaro-c", "manzanillo-a"))
        status, output = await call("apply", str(file), "--who", "hugo")
        assert status is ExitStatus.CONFLICT
        for part in ("error: the pools table", "cause: ", "edited by maria", "hint: "):
            assert part in output.err

    async def test_history_and_undo(self, call, file):
        """Guards against versions in the history that `undo` cannot restore."""
        await call("apply", str(file))
        file.write_text(TABLES.replace("lazaro-c", "manzanillo-a"))
        await call("apply", str(file), "--expect-pools", "1", "--who", "hugo")
        _, output = await call("history", "pools")
        assert output.out.splitlines() == [
            "version 5 from 1  1970-01-01 00:00:01 UTC  hugo  ~planning",
            "version 1 from 0  1970-01-01 00:00:01 UTC  maria  +planning",
        ]
        assert (await call("undo", "pools", "1"))[0] is ExitStatus.CONFLICT
        assert (await call("undo", "pools", "5"))[0] is ExitStatus.OK
        contents = [
            (await call("history", "pools", "--show", version))[1].out
            for version in ("1", "7")
        ]
        assert contents[0] == contents[1]
        assert "lazaro-c" in contents[0]

    async def test_edit_without_a_version_is_a_usage_error(self, call, file):
        """Guards against edits that overwrite unseen changes of other operators."""
        await call("apply", str(file))
        file.write_text(TABLES.replace("lazaro-c", "anfa").replace("pools = 0", ""))
        status, output = await call("apply", str(file))
        assert status is ExitStatus.USAGE
        assert "versions.pools" in output.err

    @pytest.mark.parametrize(
        "argv",
        [
            ["get"],
            ["get", "--store", "127.0.0.1:1"],
            ["get", "--store", "http://[::"],
            ["apply"],
            ["apply", "x.toml", "--store", "http://127.0.0.1"],
            ["undo", "pools", "--store", "http://127.0.0.1"],
            ["history", "tables", "--store", "http://127.0.0.1"],
            ["apply", "x.toml", "--store", "http://127.0.0.1", "--who", " "],
        ],
    )
    def test_usage_errors(self, monkeypatch, argv):
        """Guards against edits without an operator name or a valid store URL."""
        for name in ("MEDLARRIDGE_STORE", "MEDLARRIDGE_WHO", "USER"):
            monkeypatch.delenv(name, raising=False)
        with pytest.raises(cappa.Exit) as caught:
            cappa.parse(Router, argv=argv)
        assert caught.value.code == ExitStatus.USAGE

    def test_unreachable_store_is_reported(self, capsys):
        """Guards against a traceback when the store is down."""
        # A port that is bound but not listening refuses connections.
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            port = closed.getsockname()[1]
            assert Get(store=f"http://127.0.0.1:{port}")() is ExitStatus.FAILED
        assert "cause: unavailable" in capsys.readouterr().err
