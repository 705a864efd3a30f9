"""Stand-in for the platform's list of VMs, which ``PUT /vms`` replaces.

``POST /control`` sets ``lag_s`` (time until readers receive a new list) and
``available`` (if false, responses are 503).
"""

import asyncio
import time

from tests.standins._server import JsonHandler, parser, serve


class VmList:
    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.available = True
        self.versions: list[tuple[float, list[dict]]] = [(0.0, [])]

    def visible_vms(self) -> list[dict]:
        latest_s = time.time() - self.lag_s
        return [vms for since_s, vms in self.versions if since_s <= latest_s][-1]


class VmsHandler(JsonHandler):
    standin: VmList

    def get(self) -> None:
        if not self.standin.available:
            self.reply({"error": "unavailable"}, 503)
            return
        self.reply(self.standin.visible_vms())

    def put(self) -> None:
        since_s = 0.0 if len(self.standin.versions) == 1 else time.time()
        self.standin.versions.append((since_s, self.body()))
        self.reply({})


class ControlHandler(JsonHandler):
    def post(self) -> None:
        for name, value in self.body().items():
            setattr(self.standin, name, value)
        self.reply({})


def main() -> None:
    arguments_parser = parser()
    arguments_parser.add_argument("--lag-s", type=float, default=0.0)
    arguments = arguments_parser.parse_args()
    routes = [(r"/vms", VmsHandler), (r"/control", ControlHandler)]
    asyncio.run(serve(routes, VmList(arguments.lag_s), arguments.port))


if __name__ == "__main__":
    main()
