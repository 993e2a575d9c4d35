"""Engine that runs requests for tokens in order; it is full until the script says otherwise (SIGUSR2)."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from engine import Engine  # noqa: E402


class Busy(Engine):
    def run(self, connection, request, run):
        head = dict(self.signature(run), **{"Firshore-Request-Id": request.id, "Content-Type": "text/event-stream",
                                            "Transfer-Encoding": "chunked"})
        self.send_head(connection, 200, head)
        for number in range((request.after or 0) + 1, self.options["events"] + 1):
            self.send_chunk(connection, ("id: %d\ndata: %s.%d\n\n" % (number, run, number)).encode())
            time.sleep(self.options["pause_s"])
        connection.sendall(b"0\r\n\r\n")
        return True, {"through": self.options["events"]}


engine = Busy()


def free(*_):
    engine.options["full"] = False


signal.signal(signal.SIGUSR2, free)
engine.serve()
