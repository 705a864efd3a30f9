"""Prints the time line of the fleet when a test of real processes fails."""

import pytest

from tests.fleet import Fleet


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    report = yield
    if report.failed:
        for fleet in Fleet.running:
            report.sections.append(("time line", fleet.render_timeline()))
    return report
