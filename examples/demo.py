"""Runs three daemons in three failure domains, with simulated targets: ``make demo``.

With ``--serve``, the fleet runs until it is interrupted, so that requests can be sent
by hand.
"""

import argparse
import json
import signal
import tempfile
from contextlib import suppress
from pathlib import Path

import uuid6

from tests.fleet import Fleet, Process, bearer, request, wait_for

DOMAINS = ("osorno-norte", "cautin", "llanquihue")
N_LAYERS = 8
CALLER = bearer("osorno-token")


def start_fleet(fleet: Fleet) -> list[Process]:
    """Start a plain service, and two engines and a daemon in each failure domain.

    :param fleet: manages the processes.
    :returns: the daemons.
    """
    fleet.publish_base_configuration(N_LAYERS)
    for domain in DOMAINS:
        half = N_LAYERS // 2
        fleet.start_engine(f"{domain}-low", domain, 0, half, step_ms=10)
        fleet.start_engine(f"{domain}-high", domain, half, N_LAYERS, step_ms=10)
    fleet.start_service("booking-1", DOMAINS[0])
    daemons = [fleet.start_daemon(f"entry-{d}", d) for d in DOMAINS]
    for daemon in daemons:
        fleet.wait_ready(daemon)
        wait_for(lambda daemon=daemon: complete(daemon, "warm-up")[0] == 200)
    return daemons


def complete(daemon: Process, prompt: str, *, stream: bool = False) -> tuple:
    """Send a completion request.

    :param daemon: daemon that receives the request.
    :param prompt: text of the prompt.
    :param stream: whether to request a stream of events.
    :returns: status, headers and body of the response.
    """
    body = {"model": "draft", "prompt": prompt, "max_tokens": 8, "stream": stream}
    return request("POST", daemon.address, "/v1/completions", body, CALLER)


def show_requests(daemons: list[Process]) -> None:
    """Send requests to every daemon and print the responses.

    :param daemons: the daemons.
    """
    for daemon in daemons:
        print(f"\n{daemon.name} at {daemon.address}")
        status, _, body = complete(daemon, "Draft a cut sheet for twelve loins.")
        print(f"  completion: {status} {json.loads(body)['choices'][0]['text']}")
        status, _, body = complete(daemon, "Explain the yield.", stream=True)
        events = body.decode().strip().split("\n\n")
        print(f"  stream: {status}, {len(events)} events, the last {events[-1]!r}")
        key = {"Idempotency-Key": str(uuid6.uuid7())}
        path = "/v1/services/booking/slots"
        response = request("POST", daemon.address, path, b"{}", CALLER | key)
        print(f"  booking: {response[0]} {response[2].decode()}")


def show_commands(daemon: Process) -> None:
    """Print ``curl`` commands for requests by hand.

    :param daemon: daemon that receives the requests.
    """
    curl = 'curl -s -H "Authorization: Bearer osorno-token"'
    url = f"http://{daemon.address}"
    body = {"model": "draft", "prompt": "Draft a cut sheet.", "max_tokens": 4}
    for arguments in (body, body | {"stream": True}):
        print(f"{curl} -N {url}/v1/completions -d '{json.dumps(arguments)}'")
    print(
        f"{curl} -H 'Idempotency-Key: {uuid6.uuid7()}' "
        f"{url}/v1/services/booking/slots -d '{json.dumps({'slot': 7})}'"
    )


def main() -> None:
    """Start the fleet, send or print example requests and stop the fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", action="store_true", help="run until SIGINT")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        daemons = start_fleet(fleet)
        if arguments.serve:
            show_commands(daemons[0])
            with suppress(KeyboardInterrupt):
                signal.pause()
        else:
            show_requests(daemons)
        print("\nstopping the daemons")
        for daemon in daemons:
            print(f"  {daemon.name}: exit status {daemon.stop()}")


if __name__ == "__main__":
    main()
