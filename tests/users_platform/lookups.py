"""Measures lookups through a gateway from a process of its own.

``python -m tests.users_platform.lookups PORT SECONDS`` prints a JSON object with the
duration in seconds and the status of each.
"""

import http.client
import json
import os
import sys
import time

from tests.users_platform.deployment import HOST, KEY

PAUSE_S = 0.02
TIMEOUT_S = 10.0


def look_up(port):
    """Return the duration in seconds and the status of one lookup."""
    started_s = time.monotonic()
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
    headers["Attempt-Id"] = os.urandom(8).hex()
    try:
        connection.request("GET", "/stock/1", headers=headers)
        response = connection.getresponse()
        response.read()
    finally:
        connection.close()
    return time.monotonic() - started_s, response.status


def main():
    port, length_s = int(sys.argv[1]), float(sys.argv[2])
    end_s = time.monotonic() + length_s
    durations_s, statuses = [], []
    while time.monotonic() < end_s:
        duration_s, status = look_up(port)
        durations_s.append(duration_s)
        statuses.append(status)
        time.sleep(PAUSE_S)
    print(json.dumps({"durations_s": durations_s, "statuses": statuses}))


if __name__ == "__main__":
    main()
