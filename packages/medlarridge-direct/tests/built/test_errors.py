import os
import socket

import pytest

from medlarridge_platform.names import SETTINGS_VARIABLE

from .deployment import READ

pytestmark = pytest.mark.anyio


class TestStartFailures:
    @pytest.mark.parametrize(
        ("changes", "cause"),
        [
            ({"bounds.capFactor": "0"}, "load.factor"),
            ({"platform.address": "somewhere"}, "store.address"),
            ({"nodeName": 'a"b'}, "line 1"),
        ],
    )
    async def test_wrong_settings_end_the_router(self, deployment, changes, cause):
        """Guards against an error that does not say what to mend, or is no log line."""
        deployment.write_settings(**changes)
        await deployment.start_router()
        assert await deployment.wait_for_exit() == 1
        (line,) = deployment.lines
        assert line["code"] == "MR6105"
        assert str(deployment.settings_path) in line["error"]
        assert cause in line["cause"]

    async def test_a_missing_file_ends_the_router(self, deployment):
        """Guards against a router that starts without limits, or a traceback."""
        await deployment.start_router()
        assert await deployment.wait_for_exit() == 1
        (line,) = deployment.lines
        assert line["code"] == "MR6105"
        assert str(deployment.settings_path) in line["error"]

    async def test_a_missing_variable_ends_the_router(self, deployment):
        """Guards against an error about a directory in place of the variable."""
        await deployment.start_router(**{SETTINGS_VARIABLE: ""})
        assert await deployment.wait_for_exit() == 1
        (line,) = deployment.lines
        assert line["code"] == "MR6105"
        assert SETTINGS_VARIABLE in line["error"]

    async def test_an_address_in_use_ends_the_router(self, deployment):
        """Guards against a traceback that is no log line when a port is taken."""
        deployment.write_settings()
        with socket.create_server(deployment.readiness):
            await deployment.start_router()
            assert await deployment.wait_for_exit() == 1
        line = deployment.lines[-1]
        assert (line["code"], line["error"]) == ("MR6143", "OSError")
        assert str(deployment.readiness[1]) in line["detail"]


class TestUnexpectedErrors:
    async def test_an_error_of_an_endpoint_is_a_log_line(self, deployment, tmp_path):
        """Guards against tracebacks among the log lines."""
        broken = tmp_path / "prometheus_client"
        broken.mkdir()
        (broken / "__init__.py").write_text("raise RuntimeError('broken')")
        libraries = deployment.router.environment({})["PYTHONPATH"]
        path = os.pathsep.join([str(tmp_path), libraries])
        deployment.write_settings()
        await deployment.start_platform()
        await deployment.start_router(PYTHONPATH=path)
        await deployment.wait_until_serving()
        status, _ = await deployment.get_metrics()
        assert status == 502
        line = await deployment.wait_for_line("MR6143")
        assert (line["error"], line["detail"]) == ("RuntimeError", "broken")
        assert any("operator_endpoint.py" in frame for frame in line["at"])
        assert (await deployment.send(READ)).served
