"""A strict HTTP/1.1 client: one request on a new connection, and whether its answer was complete on the wire."""

import socket
import time


class Answer:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.ended = "open"

    def brief(self):
        return {"status": self.status, "bytes": len(self.body), "complete": self.complete, "ended": self.ended}


def call(address, method, path, headers, body=b"", timeout=30.0):
    """Sends one request and reads its answer. `complete` holds only if length or last chunk mark the end."""
    answer = Answer()
    host, port = address.rsplit(":", 1)
    try:
        connection = socket.create_connection((host, int(port)), timeout=timeout)
    except OSError as error:
        answer.ended = "not connected: %s" % error
        return answer
    try:
        lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % pair for pair in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append("Content-Length: %d" % len(body))
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        _read(connection, answer, time.monotonic() + timeout)
    except socket.timeout:
        answer.ended = "timed out"
    except OSError as error:
        answer.ended = "reset: %s" % error
    finally:
        connection.close()
    return answer


def _read(connection, answer, deadline):
    data = b""

    def more():
        nonlocal data
        connection.settimeout(max(0.01, deadline - time.monotonic()))
        chunk = connection.recv(65536)
        data += chunk
        return bool(chunk)

    while b"\r\n\r\n" not in data:
        if not more():
            answer.ended = "closed before the head"
            return
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", "").lower():
        while True:
            while b"\r\n" not in data:
                if not more():
                    answer.ended = "closed inside the chunks"
                    return
            size, rest = data.split(b"\r\n", 1)
            size = int(size.split(b";")[0], 16)
            while len(rest) < size + 2:
                if not more():
                    answer.body += rest[:size]
                    answer.ended = "closed inside the chunks"
                    return
                rest = data.split(b"\r\n", 1)[1]
            answer.body += rest[:size]
            data = rest[size + 2:]
            if size == 0:
                answer.complete, answer.ended = True, "last chunk"
                return
    length = int(answer.headers.get("content-length", "-1"))
    if length >= 0:
        while len(data) < length:
            if not more():
                answer.body = data
                answer.ended = "closed before its length"
                return
        answer.body = data[:length]
        answer.complete, answer.ended = True, "length"
        return
    while more():
        pass
    answer.body = data
    answer.ended = "closed, no length"
