"""Stand-in that answers each GET with the present content of a file.

A document can thus have a form that no other stand-in would write.
"""

import asyncio
from pathlib import Path

from tornado.web import RequestHandler

from tests.standins._server import parser, serve


class DocumentHandler(RequestHandler):
    def initialize(self, standin: Path) -> None:
        self.standin = standin

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(self.standin.read_bytes())


def main() -> None:
    arguments_parser = parser()
    arguments_parser.add_argument("--file", type=Path, required=True)
    arguments = arguments_parser.parse_args()
    routes = [(r"/.*", DocumentHandler)]
    asyncio.run(serve(routes, arguments.file, arguments.port))


if __name__ == "__main__":
    main()
