import pytest
from soak.request_records import REQUEST_KINDS

from .deployment import KINDS, READ

pytestmark = pytest.mark.anyio


class TestRequests:
    async def test_a_request_of_each_kind_is_served(self, serving):
        """Guards against a built router that lacks what one kind of request needs."""
        for kind in (KINDS[each.prefix] for each in REQUEST_KINDS):
            request = await serving.send(kind)
            assert request.served, (kind.prefix, request.status, request.lost)
            assert request.violations == []
            await serving.wait_for_line("MR6002", request=request.request_id)

    async def test_requests_that_are_not_allowed_get_their_status(self, serving):
        """Guards against refusals that fail in the built router."""
        unknown_key = await serving.send(READ, key="key-of-nobody")
        no_route = await serving.send(READ, prefix="/nowhere/")
        assert (unknown_key.status, no_route.status) == (401, 404)
        for request in (unknown_key, no_route):
            await serving.wait_for_line("MR6006", request=request.request_id)

    async def test_a_decision_is_explained(self, serving):
        """Guards against an explanation that fails in the built router."""
        explanation = await serving.explain("/talk/1")
        candidates = [each["server"] for each in explanation["candidates"]]
        assert (explanation["pool"], candidates) == ("talk", ["i-talk"])
