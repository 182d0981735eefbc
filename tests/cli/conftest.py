"""A running deployment for the tests of the commands."""

import json

import pytest
import pytest_asyncio

from dragonflynotch.testing.deployment import SitePlan, plan_deployment
from dragonflynotch.testing.running_deployment import RunningDeployment
from tests.cli.shell import Shell, workspace_record


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    """One entry with one guard, shared by the tests of a module."""
    plan = plan_deployment((SitePlan('nadi'),), stop_notice_ms=0)
    async with RunningDeployment(plan):
        yield plan


@pytest.fixture
def shell(deployment, capsys):
    """A shell whose commands address the shared deployment."""
    return Shell(deployment, capsys)


@pytest.fixture
def record_file(tmp_path):
    """A file with one workspace record."""
    file = tmp_path / 'resort.json'
    file.write_text(json.dumps(workspace_record()))
    return file
