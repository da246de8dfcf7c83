"""The built program and a deployment of it."""

import pytest

from .deployment import Deployment
from .tree import BuiltTree


@pytest.fixture(scope="session")
def built_tree(tmp_path_factory):
    tree = BuiltTree(tmp_path_factory.mktemp("built"))
    tree.build()
    return tree


@pytest.fixture
async def deployment(built_tree, tmp_path):
    """Yield a deployment of which nothing runs; check the router's output at the end."""
    deployment = Deployment(built_tree, tmp_path)
    try:
        yield deployment
    finally:
        await deployment.stop()
    deployment.check_output()


@pytest.fixture
async def serving(deployment):
    """Yield a deployment whose router serves."""
    await deployment.start()
    return deployment
