"""Engine that resets requests for a while: its first run of an item midway, and the runs that go on there at once."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from engine import Engine  # noqa: E402


def event(run, number):
    return ("id: %d\ndata: %s.%d\n\n" % (number, run, number)).encode()


class Faulty(Engine):
    fresh = 0

    def run(self, connection, request, run):
        events, pause = self.options["events"], self.options["pause_s"]
        if request.after is None:
            self.fresh += 1
        is_faulty = self.options["break_off"] and self.fresh == 1
        head = dict(self.signature(run), **{"Firshore-Request-Id": request.id, "Content-Type": "text/event-stream",
                                            "Transfer-Encoding": "chunked"})
        self.send_head(connection, 200, head)
        for number in range((request.after or 0) + 1, events + 1):
            if is_faulty and (request.after is not None or number > self.options["break_off"]):
                time.sleep(0.05)  # What was sent is read first.
                self.reset(connection)
                return False, {"reset before": number}
            self.send_chunk(connection, event(run, number))
            if number % 10 == 0:
                self.log("progress", id=request.id, run=run, after=request.after, event_number=number)
            time.sleep(pause)
        connection.sendall(b"0\r\n\r\n")
        return True, {"through": events}


Faulty().serve()
