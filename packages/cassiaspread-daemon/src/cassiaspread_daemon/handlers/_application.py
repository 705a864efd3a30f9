"""Routes of the HTTP server."""

from tornado.web import Application

from cassiaspread_daemon._node import Node
from cassiaspread_daemon.handlers._base import UnknownPathHandler
from cassiaspread_daemon.handlers._completions import (
    ChatCompletionsHandler,
    CompletionsHandler,
)
from cassiaspread_daemon.handlers._fleet import (
    DrainHandler,
    MembersHandler,
    ObservationsHandler,
)
from cassiaspread_daemon.handlers._operations import (
    EventsHandler,
    HealthHandler,
    MetricsHandler,
    PolicyHandler,
    ReadyHandler,
    StatusHandler,
    TargetsHandler,
)
from cassiaspread_daemon.handlers._quarantine import (
    QuarantineHandler,
    ReleaseHandler,
)
from cassiaspread_daemon.handlers._services import ServiceHandler
from cassiaspread_daemon.handlers._tickets import KeyHandler, TicketsHandler


def build_application(node: Node) -> Application:
    """Build the application that serves callers and operators.

    :param node: daemon that serves the requests.
    """
    arguments = {"node": node}
    return Application(
        [
            (r"/v1/completions", CompletionsHandler, arguments),
            (r"/v1/chat/completions", ChatCompletionsHandler, arguments),
            (r"/v1/services/([^/]+)(/.*)?", ServiceHandler, arguments),
            (r"/v1/tickets", TicketsHandler, arguments),
            (r"/healthz", HealthHandler, arguments),
            (r"/readyz", ReadyHandler, arguments),
            (r"/metrics", MetricsHandler, arguments),
            (r"/operators/events", EventsHandler, arguments),
            (r"/operators/drain", DrainHandler, arguments),
            (r"/operators/members", MembersHandler, arguments),
            (r"/operators/observations", ObservationsHandler, arguments),
            (r"/operators/keys/([^/]+)/([^/]+)", KeyHandler, arguments),
            (r"/operators/status", StatusHandler, arguments),
            (r"/operators/targets", TargetsHandler, arguments),
            (r"/operators/policy", PolicyHandler, arguments),
            (r"/operators/quarantine", QuarantineHandler, arguments),
            (r"/operators/quarantine/release", ReleaseHandler, arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=arguments,
    )
