"""Stand-in for the platform's metadata store: objects by kind and name, revisions, watches.

Follows the page on the wire: lists in order of name, one counter of revisions, compare-and-set by revision, a PUT that
changes nothing raises no revision, watches that return as soon as there is an event.
"""

import json
import socket
import threading
import time
from urllib.parse import parse_qs, urlsplit

PAGE = 500
HISTORY = 5000


class Store:
    def __init__(self):
        self.changed = threading.Condition()
        self.kinds = {}
        self.events = []
        self.revision = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    # --- what the script itself does as operator and engine -------------------------------------------------------

    def put(self, kind, name, spec):
        """Writes a whole spec, as the operator or an engine does; returns the time of the acknowledgement."""
        with self.changed:
            held = self.kinds.setdefault(kind, {}).get(name)
            if held is None:
                self._create(kind, name, {"spec": spec})
            elif held["spec"] != spec:
                held["spec"] = spec
                self._touch(kind, held)
        return time.time()

    def delete(self, kind, name):
        with self.changed:
            held = self.kinds.get(kind, {}).pop(name, None)
            if held is not None:
                self._event(kind, held, True)

    # --- objects ----------------------------------------------------------------------------------------------------

    def _create(self, kind, name, content):
        made = {
            "metadata": {"name": name, "revision": 0, "created_at": int(time.time()), "finalizers": [],
                         "delete_pending": False},
            "spec": content.get("spec"),
            "status": content.get("status"),
        }
        self.kinds.setdefault(kind, {})[name] = made
        self._touch(kind, made)
        return made

    def _touch(self, kind, held):
        self._event(kind, held, False)

    def _event(self, kind, held, is_gone):
        self.revision += 1
        held["metadata"]["revision"] = self.revision
        self.events.append((self.revision, kind, json.loads(json.dumps(held)), is_gone))
        del self.events[:-HISTORY]
        self.changed.notify_all()

    # --- HTTP -------------------------------------------------------------------------------------------------------

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                line = reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                length = 0
                while True:
                    header = reader.readline().decode().strip()
                    if not header:
                        break
                    name, _, value = header.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = reader.read(length) if length else b""
                status, answer = self._handle(method, target, json.loads(body) if body else {})
                payload = json.dumps(answer).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                connection.sendall((head % (status, len(payload))).encode() + payload)
        except (OSError, ValueError):
            return
        finally:
            connection.close()

    def _handle(self, method, target, body):
        split = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(split.query).items()}
        parts = split.path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], (parts[3] if len(parts) > 3 else None)
        if method == "GET" and name is None:
            if "watch" in query:
                return self._watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
            return self._list(kind, query.get("since_rev", ""))
        with self.changed:
            held = self.kinds.get(kind, {}).get(name)
            metadata = body.get("metadata") or {}
            if method == "GET":
                return (200, held) if held else (404, {})
            if method == "POST":
                name = metadata.get("name") or name
                if name in self.kinds.get(kind, {}):
                    return 409, self.kinds[kind][name]
                return 200, self._create(kind, name, body)
            if held is None:
                return 404, {}
            expected = metadata.get("revision", query.get("revision"))
            if expected is not None and int(expected) != held["metadata"]["revision"]:
                return 409, held
            if method == "PUT":
                field = "status" if parts[4:] == ["status"] else "spec"
                if held[field] != body.get(field):
                    held[field] = body.get(field)
                    self._touch(kind, held)
                return 200, held
            if method == "DELETE":
                del self.kinds[kind][name]
                self._event(kind, held, True)
                return 200, held
        return 404, {}

    def _list(self, kind, after):
        with self.changed:
            names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
            return 200, {"requests": [self.kinds[kind][name] for name in names[:PAGE]], "has_more": len(names) > PAGE,
                         "ts": self.revision}

    def _watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                if self.events and since < self.events[0][0] - 1:
                    return 410, {}
                found = [one for one in self.events if one[0] > since and one[1] == kind]
                left = until - time.monotonic()
                if found or left <= 0:
                    events = [{"object": held, "is_gone": gone} for _, _, held, gone in found]
                    return 200, {"events": events, "ts": self.revision}
                self.changed.wait(left)
