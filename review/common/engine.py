"""Stand-in for an engine, as a process of its own: registers in the store, serves HTTP, logs what it was sent and ran.

A case derives from `Engine` and overrides `run`. SIGUSR1: the engine says `draining`.
"""

import json
import os
import signal
import socket
import struct
import sys
import threading
import time

from wire import call

HEARTBEAT_S = 1.2


class Request:
    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body
        self.id = headers.get("firshore-request-id", "")
        last = headers.get("last-event-id")
        self.after = int(last) if last is not None else None


class Engine:
    def __init__(self):
        self.options = json.loads(sys.argv[1])
        self.log_file = open(self.options["log"], "a")
        self.lock = threading.Lock()
        self.runs = 0
        self.state = "ready"
        self.sequence = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.options["port"]))
        self.listener.listen(128)

    def log(self, event, **facts):
        with self.lock:
            self.log_file.write(json.dumps(dict(facts, event=event, at=time.time())) + "\n")
            self.log_file.flush()

    # --- registration -----------------------------------------------------------------------------------------------

    def entry(self):
        options = self.options
        return {"service": options["service"], "address": "127.0.0.1:%d" % options["port"], "zone": options["zone"],
                "version": options.get("version", "v1"), "slots": options.get("slots", 8), "state": self.state,
                "cold_left_ms": 0, "seq": self.sequence}

    def beat(self):
        """Writes the entry; returns whether the store has taken it."""
        path = "/v1/objects/servers/%s" % self.options["id"]
        body = json.dumps({"metadata": {"name": self.options["id"]}, "spec": self.entry()}).encode()
        headers = {"Host": self.options["store"], "Content-Type": "application/json"}
        answer = call(self.options["store"], "PUT", path, headers, body, 2)
        if answer.status == 404:
            answer = call(self.options["store"], "POST", path, headers, body, 2)
        return answer.status == 200

    def beats(self):
        while True:
            time.sleep(HEARTBEAT_S)
            self.beat()

    def drain(self, *_):
        def say():
            self.state = "draining"
            taken = self.beat()
            self.log("draining", taken=taken)
        threading.Thread(target=say, daemon=True).start()

    # --- serving ----------------------------------------------------------------------------------------------------

    def serve(self):
        signal.signal(signal.SIGUSR1, self.drain)
        if not self.beat():
            sys.exit(1)
        threading.Thread(target=self.beats, daemon=True).start()
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.connection, args=(connection,), daemon=True).start()

    def connection(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                line = reader.readline()
                if not line:
                    return
                method, path, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    header = reader.readline().decode("latin-1").strip()
                    if not header:
                        break
                    name, _, value = header.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = reader.read(length) if length else b""
                request = Request(method, path, headers, body)
                if not self.answer(connection, request):
                    return
        except (OSError, ValueError):
            return
        finally:
            connection.close()

    def answer(self, connection, request):
        """Answers one request; returns whether the connection stays open."""
        if request.path == "/healthz":
            self.send(connection, 200 if self.state == "ready" else 503, {"Firshore-Instance-Id": self.options["id"]})
            return True
        if not request.id:
            self.send(connection, 400, {"Firshore-Not-Executed": "1"})
            return True
        marks = {"Firshore-Request-Id": request.id}
        expected = request.headers.get("firshore-expect-instance")
        if expected not in (None, self.options["id"]):
            self.send(connection, 421, dict(marks, **{"Firshore-Instance-Id": self.options["id"]}))
            return True
        if self.options.get("full"):
            self.log("not run", id=request.id, after=request.after)
            slots = self.options.get("slots", 8)
            load = "%d,0,%d" % (slots, slots)
            self.send(connection, 503, dict(marks, **{"Firshore-Not-Executed": "1", "Firshore-Server-Load": load}))
            return True
        with self.lock:
            self.runs += 1
            run = "%s#%d" % (self.options["id"], self.runs)
        self.log("run begins", id=request.id, run=run, path=request.path, after=request.after,
                 host=request.headers.get("host"))
        try:
            keeps, sent = self.run(connection, request, run)
        except OSError:
            self.log("run ends", id=request.id, run=run, how="its connection ended")
            return False
        self.log("run ends", id=request.id, run=run, how="by the engine", **sent)
        return keeps

    def run(self, connection, request, run):
        raise NotImplementedError

    def reset(self, connection):
        """Ends a connection with a reset."""
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        os.close(connection.detach())

    def signature(self, run):
        return {"Firshore-Response-Signature": run.replace("#", ".")}

    def send(self, connection, status, headers, body=b""):
        lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % pair for pair in headers.items()]
        lines.append("Content-Length: %d" % len(body))
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def send_head(self, connection, status, headers):
        lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % pair for pair in headers.items()]
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())

    def send_chunk(self, connection, data):
        connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
