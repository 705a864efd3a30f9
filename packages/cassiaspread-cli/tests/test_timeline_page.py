"""Tests of the HTML page of the time line."""

from xml.etree import ElementTree

from cassiaspread_cli._timeline_page import render_page
from cassiaspread_core.timeline import Event, Timestamp


def test_page_shows_each_event_in_its_lane_and_escapes_text():
    events = [
        Event(Timestamp(1000, 0), "d1", "stream.planned", "r", {"engines": "<e1>"}),
        Event(Timestamp(1030, 0), "d2", "stream.failed", "r", {}),
    ]
    page = render_page(events, "request <r>")
    svg = ElementTree.fromstring(page[page.index("<svg") : page.index("</html>")])
    groups = svg.findall("g")
    assert [g.get("class") for g in groups] == ["event", "event failed"]
    assert "engines=<e1>" in groups[0].findtext("title")
    assert groups[1].find("text").text == "+30 ms"
    assert groups[0].find("circle").get("cx") != groups[1].find("circle").get("cx")
    assert "request <r>" not in page
    assert "http" not in page


def test_page_without_events_is_rendered():
    assert "0 events of 0 processes" in render_page([], "empty")
