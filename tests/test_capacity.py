"""The capacity page is generated from the measured slopes."""

from benchmarks.capacity import SLOPES_PATH, read_slopes, render_page
from tests.fleet import ROOT


def test_page_is_current():
    template = SLOPES_PATH.with_name("capacity.md.in").read_text()
    page = (ROOT / "docs/CAPACITY.md").read_text()
    assert page == render_page(template, read_slopes()), "run `make docs`"


def test_every_slope_names_a_benchmark():
    for name, slope in read_slopes().items():
        module = ROOT / "benchmarks" / f"{slope.benchmark}.py"
        assert module.exists(), name
        assert slope.value > 0, name
        assert slope.commit, name
