"""The capacity page is generated from the measured slopes."""

from benchmarks.capacity import (
    SLOPES_PATH,
    read_deployment_runs,
    read_slopes,
    render_page,
)
from tests.fleet import ROOT


def test_page_is_current():
    template = SLOPES_PATH.with_name("capacity.md.in").read_text()
    page = (ROOT / "docs/design/own-interface-costs.md").read_text()
    current = render_page(template, read_slopes(), read_deployment_runs())
    assert page == current, "run `make docs`"


def test_every_slope_names_a_benchmark():
    for name, slope in read_slopes().items():
        module = ROOT / "benchmarks" / f"{slope.benchmark}.py"
        assert module.exists(), name
        assert slope.value > 0, name
        assert slope.commit, name
