import signal

import pytest

from medlarridge_standins.demo.__main__ import run_step
from medlarridge_standins.demo.console import Console, StepFailed
from medlarridge_standins.demo.processes import (
    ChildProcess,
    WaitTimeout,
    end_all,
    wait_until,
)
from medlarridge_standins.demo.requests import StreamedResponse, apply_event
from medlarridge_standins.demo.steps import STEPS, Step

IGNORE_SIGTERM = """
import signal, time
signal.signal(signal.SIGTERM, signal.SIG_IGN)
print("ready", flush=True)
time.sleep(600)
"""


class NoChildren:
    children = ()


class TestNarrator:
    async def test_failed_check_fails_the_step_and_is_counted(self, capsys):
        """Guards against a demo that exits with 0 although a step failed."""
        console = Console()

        async def wrong(fleet, console):
            console.check(1 + 1 == 2, "this holds")
            console.check(1 + 1 == 3, "this does not hold")

        assert not await run_step(Step("A step", wrong), NoChildren(), console)
        assert (console.checks, console.failures) == (1, 1)
        assert "FAILED: this does not hold" in capsys.readouterr().out

    async def test_wait_timeout_fails_the_step(self):
        """Guards against a step that counts as passed after a wait timed out."""
        console = Console()

        async def late(fleet, console):
            await wait_until(lambda: False, "what never comes", 0)

        assert not await run_step(Step("A step", late), NoChildren(), console)
        assert console.failures == 1

    def test_check_raises(self):
        """Guards against failed checks that are printed but do not fail the step."""
        with pytest.raises(StepFailed):
            Console().check(False, "this does not hold")

    def test_steps_cover_what_the_page_promises(self):
        """Guards against steps that are defined but not registered."""
        assert len(STEPS) == 8


class TestProcesses:
    async def test_process_that_ignores_the_signal_is_killed(
        self, tmp_path, monkeypatch
    ):
        """Guards against processes that outlive the demo."""
        (tmp_path / "stubborn.py").write_text(IGNORE_SIGTERM)
        monkeypatch.syspath_prepend(tmp_path)
        child = ChildProcess("stubborn", ("stubborn",), tmp_path / "log")
        await wait_until(lambda: "ready" in child.last_lines(), "its start", 60)
        assert await end_all([child], timeout_s=0.2) == [child]
        assert child.status == -signal.SIGKILL

    async def test_timeout_names_the_missing_condition(self):
        """Guards against a timeout that does not name the missing condition."""
        with pytest.raises(WaitTimeout, match="the stream"):
            await wait_until(lambda: False, "the stream", 0)


class TestStreamedAnswer:
    def test_outcome_and_end_mark_are_told_apart(self):
        """Guards against a truncated stream that counts as complete."""
        response = StreamedResponse()
        apply_event(response, "", '{"choices":[{"delta":{"content":"ba "}}]}')
        apply_event(response, "medlarridge-outcome", '{"outcome":"unknown"}')
        assert (response.text(), response.outcome, response.done) == (
            "ba ",
            "unknown",
            False,
        )
        apply_event(response, "", "[DONE]")
        assert response.done
