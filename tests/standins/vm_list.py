"""The platform's list of VMs; ``PUT /vms`` replaces it, readers see it late."""

import asyncio
import time

from tests.standins._server import JsonHandler, parser, serve


class VmList:
    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.versions: list[tuple[float, list[dict]]] = [(0.0, [])]

    def visible(self) -> list[dict]:
        seen = time.time() - self.lag_s
        return [vms for since, vms in self.versions if since <= seen][-1]


class VmsHandler(JsonHandler):
    standin: VmList

    def get(self) -> None:
        self.reply(self.standin.visible())

    def put(self) -> None:
        since = 0.0 if len(self.standin.versions) == 1 else time.time()
        self.standin.versions.append((since, self.body()))
        self.reply({})


def main() -> None:
    arguments_parser = parser()
    arguments_parser.add_argument("--lag-s", type=float, default=0.0)
    arguments = arguments_parser.parse_args()
    asyncio.run(serve([(r"/vms", VmsHandler)], VmList(arguments.lag_s), arguments.port))


if __name__ == "__main__":
    main()
