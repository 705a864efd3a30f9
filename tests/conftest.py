"""Adds the time lines of running fleets to the reports of failed tests."""

import pytest

from tests.fleet import Fleet


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    report = yield
    if report.failed:
        for fleet in Fleet.running:
            report.sections.append(("time line", fleet.render_timeline()))
    return report
