"""Engine whose answers lack a length and end with their connection."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from engine import Engine  # noqa: E402


def event(run, number):
    return ("id: %d\ndata: %s.%d\n\n" % (number, run, number)).encode()


class Unframed(Engine):
    def run(self, connection, request, run):
        events, pause = self.options["events"], self.options["pause_s"]
        head = dict(self.signature(run), **{"Firshore-Request-Id": request.id, "Connection": "close"})
        if request.path.startswith("/puxa403/"):
            self.send_head(connection, 200, head)
            half = run.encode() * 1000
            connection.sendall(half)
            time.sleep(events * pause)
            connection.sendall(half)
            return False, {"bytes": 2 * len(half)}
        self.send_head(connection, 200, dict(head, **{"Content-Type": "text/event-stream"}))
        for number in range((request.after or 0) + 1, events + 1):
            connection.sendall(event(run, number))
            time.sleep(pause)
        return False, {"through": events}


Unframed().serve()
