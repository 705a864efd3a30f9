"""Rendering of the time line as an HTML page with a lane for each process."""

import html
from collections.abc import Sequence

from cassiaspread_core.timeline import Event

LANE_WIDTH_PX = 260
ROW_HEIGHT_PX = 30
MARGIN_PX = 40
TIME_WIDTH_PX = 110
MAX_LABEL_LENGTH = 34

_PAGE = """\
<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>{title}</title>
<style>
body {{ font: 13px sans-serif; margin: 16px; }}
svg text {{ font: 12px monospace; }}
.lane {{ stroke: #bbb; }}
.name {{ font-weight: bold; }}
.event circle {{ fill: #2563eb; }}
.event.failed circle {{ fill: #dc2626; }}
.time {{ fill: #666; }}
</style>
<h1>{title}</h1>
<p>{n_events} events of {n_processes} processes in causal order, earliest first.
Times are milliseconds after the first event. Hover over an event to see its fields.</p>
<svg width="{width}" height="{height}" role="img">
{lanes}
{events}
</svg>
</html>
"""
_FAILURE_KEYWORDS = ("failed", "lost", "refused", "rejected", "timeout", "quarantined")


def render_page(events: Sequence[Event], title: str) -> str:
    """Render a self-contained page.

    :param events: events in causal order.
    :param title: title of the page.
    :returns: the page in HTML, without external resources.
    """
    processes = sorted({event.process for event in events})
    first_ms = events[0].timestamp.wall_ms if events else 0
    height_px = 2 * MARGIN_PX + ROW_HEIGHT_PX * len(events)
    return _PAGE.format(
        title=html.escape(title),
        n_events=len(events),
        n_processes=len(processes),
        width=TIME_WIDTH_PX + LANE_WIDTH_PX * len(processes),
        height=height_px,
        lanes="\n".join(
            _render_lane(index, process, height_px)
            for index, process in enumerate(processes)
        ),
        events="\n".join(
            _render_event(row, processes.index(event.process), event, first_ms)
            for row, event in enumerate(events)
        ),
    )


def _lane_x(index: int) -> int:
    return TIME_WIDTH_PX + LANE_WIDTH_PX * index + 10


def _render_lane(index: int, process: str, height_px: int) -> str:
    x = _lane_x(index)
    return (
        f'<text class="name" x="{x}" y="16">{html.escape(process)}</text>'
        f'<line class="lane" x1="{x}" y1="24" x2="{x}" y2="{height_px}"/>'
    )


def _render_event(row: int, lane: int, event: Event, first_ms: int) -> str:
    x, y = _lane_x(lane), MARGIN_PX + ROW_HEIGHT_PX * row
    failed = " failed" if any(word in event.kind for word in _FAILURE_KEYWORDS) else ""
    fields = ", ".join(f"{name}={value}" for name, value in event.fields.items())
    details = f"{event.timestamp} {event.request} {fields}"
    return (
        f'<g class="event{failed}"><title>{html.escape(details)}</title>'
        f'<text class="time" x="0" y="{y + 4}">'
        f"+{event.timestamp.wall_ms - first_ms} ms</text>"
        f'<circle cx="{x}" cy="{y}" r="5"/>'
        f'<text x="{x + 10}" y="{y + 4}">'
        f"{html.escape(event.kind[:MAX_LABEL_LENGTH])}</text></g>"
    )
