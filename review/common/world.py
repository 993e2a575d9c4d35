"""A small deployment on loopback addresses: the project's nodes as processes, stand-ins for the rest, and the record."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from store import Store
from wire import call

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "firshore-on-platform")
HOST = "ficu95.example"
ZONES = ("abbotsford", "kelowna", "kamloops")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The figures of the deployment (its sheet) that the scripts use.
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
FINISH_S = 18.0
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not run; says nothing of the rule."""


def free_port():
    probe = socket.socket()
    probe.bind(("127.0.0.1", 0))
    port = probe.getsockname()[1]
    probe.close()
    return port


class World:
    def __init__(self, folder):
        self.record_path = os.path.join(folder, "record.txt")
        self.record_file = open(self.record_path, "w")
        self.lock = threading.Lock()
        self.started = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="firshore-review-")
        self.processes = {}
        self.nodes = {}
        self.fronts = []
        self.stores = []
        self.engine_logs = {}
        self.store = Store()
        self.version = 0
        self.note("trouble" if TROUBLE else "no trouble")

    # --- record -----------------------------------------------------------------------------------------------------

    def note(self, text, **facts):
        line = "%8.3f %s" % (time.monotonic() - self.started, text)
        if facts:
            line += " " + json.dumps(facts, sort_keys=True)
        with self.lock:
            self.record_file.write(line + "\n")
            self.record_file.flush()
        print(line, flush=True)

    # --- nodes ------------------------------------------------------------------------------------------------------

    def start_nodes(self, fronts=1, stores=3):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        for number in range(stores):
            self._prepare("store-%s-1" % ZONES[number % 3], ZONES[number % 3], is_store=True)
        for number in range(fronts):
            self._prepare("front-%s-%d" % (ZONES[number % 3], 1 + number // 3), ZONES[number % 3], is_store=False)
        for name in self.stores + self.fronts:
            self.start_node(name)

    def wait_ready(self):
        """A front node is ready once it knows a configuration and an engine."""
        self.wait("all front nodes ready", 20, lambda: all(self.is_ready(name) for name in self.fronts))
        self.note("all front nodes ready")

    def _prepare(self, name, zone, is_store):
        ports = {"peers": free_port(), "metrics": free_port()}
        listen = ['metrics = "127.0.0.1:%d"' % ports["metrics"], 'peers = "127.0.0.1:%d"' % ports["peers"]]
        if not is_store:
            ports.update(callers=free_port(), readiness=free_port())
            listen.append('callers = "127.0.0.1:%d"' % ports["callers"])
            listen.append('readiness = "127.0.0.1:%d"' % ports["readiness"])
        zones = "\n".join('"%s" = "bc-south"' % one for one in ZONES)
        data = os.path.join(self.folder, name, "data")
        storage = '[storage]\ndata_folder = "%s"\n' % data if is_store else ""
        settings = f"""name = "{name}"
region = "bc-south"
zone = "{zone}"

[zones]
{zones}

[listen]
{chr(10).join(listen)}

[objects]
address = "{self.store.address}"
history_seconds = 20
configuration_bound_milliseconds = {int(CONFIG_APPLY_S * 1000)}
leaving_bound_milliseconds = {int(DRAIN_S * 1000)}

[cluster]
secret = "firshore on the platform"
first_start = true
tolerated_disk_losses = 1
catch_up_seconds = 4.7

{storage}
[limits]
memory_megabytes = {290 if is_store else 260}

[leave]
grace_seconds = 8

[log]
format = "json"
"""
        os.makedirs(os.path.join(self.folder, name))
        path = os.path.join(self.folder, name, "local.conf")
        with open(path, "w") as file:
            file.write(settings)
        self.nodes[name] = {"settings": path, "ports": ports, "log": os.path.join(self.folder, name, "log"),
                            "zone": zone}
        (self.stores if is_store else self.fronts).append(name)

    def start_node(self, name):
        node = self.nodes[name]
        # The command of the deploy file, with this node's settings file.
        command = [PROGRAM, "serve", "--settings", node["settings"]]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        output = open(node["log"], "ab")
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=output, stderr=output,
                                                stdin=subprocess.DEVNULL)
        output.close()
        self.note("node started", node=name)

    def is_ready(self, name):
        address = "127.0.0.1:%d" % self.nodes[name]["ports"]["readiness"]
        return call(address, "GET", "/v1/readyz", {"Host": address}, timeout=1).status == 200

    def front(self, number=0):
        return "127.0.0.1:%d" % self.nodes[self.fronts[number]]["ports"]["callers"]

    def log_lines(self, name, text):
        """Lines of a node's log that hold `text`, decoded."""
        found = []
        try:
            with open(self.nodes[name]["log"], errors="replace") as file:
                for line in file:
                    if text in line:
                        try:
                            found.append(json.loads(line))
                        except ValueError:
                            pass
        except OSError:
            pass
        return found

    def leader(self):
        """The store node whose runner started last, by the nodes' own logs."""
        newest = None
        for name in self.stores:
            for line in self.log_lines(name, "runner: Started to run items."):
                if newest is None or line["ts"] > newest[0]:
                    newest = (line["ts"], name)
        return newest and newest[1]

    # --- engines ----------------------------------------------------------------------------------------------------

    def start_engine(self, script, name, **options):
        log = os.path.join(self.folder, name + ".log")
        options = dict(options, id=name, store=self.store.address, log=log, port=free_port())
        command = [sys.executable, "-B", script, json.dumps(options)]
        self.processes[name] = subprocess.Popen(command, stdin=subprocess.DEVNULL)
        self.engine_logs[name] = log
        self.wait("engine %s listed" % name, 10, lambda: name in self.store.kinds.get("servers", {}))
        self.note("engine started", engine=name, service=options.get("service"), version=options.get("version"))

    def engine_events(self, name, event=None):
        found = []
        try:
            with open(self.engine_logs[name]) as file:
                for line in file:
                    if line.endswith("\n"):
                        found.append(json.loads(line))
        except OSError:
            pass
        return [one for one in found if event is None or one["event"] == event]

    def engine_port(self, name):
        """The port at which an engine listens, as its entry says."""
        return int(self.store.kinds["servers"][name]["spec"]["address"].rsplit(":", 1)[1])

    # --- operator ---------------------------------------------------------------------------------------------------

    def configure(self, routes, services):
        self.version += 3
        spec = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_conns": 300, "protocol": "h1", "tls": False,
                          "engine": {"slots": 8}} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
        }
        self.store.put("config", "main", spec)
        self.note("configuration acknowledged", version=self.version, routes=[route["path_prefix"] for route in routes])

    # --- batch jobs -------------------------------------------------------------------------------------------------

    def submit(self, prefix, job, items, timeout=10):
        """Hands a batch job in until it is accepted, each attempt at the next front node."""
        body = json.dumps({"requests": items}).encode()
        for attempt in range(10):
            headers = {"Host": HOST, "Firshore-Request-Id": job, "Content-Type": "application/json"}
            answer = call(self.front(attempt % len(self.fronts)), "POST", prefix + job, headers, body, timeout)
            self.note("job handed in", job=job, items=len(items), answer=answer.brief())
            if answer.status == 202:
                return
            time.sleep(0.5)
        raise CannotRun("the job was not accepted")

    def read_results(self, job, since=0):
        """Returns (status, page or None)."""
        headers = {"Host": HOST, "Firshore-Wait-Ms": "0"}
        answer = call(self.front(), "GET", "/v1/lots/%s?since_rev=%d" % (job, since), headers, timeout=5)
        page = json.loads(answer.body) if answer.status == 200 and answer.complete else None
        return answer.status, page

    # --- processes --------------------------------------------------------------------------------------------------

    def signal(self, name, number):
        self.note("signal sent", process=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait(10)

    def wait(self, what, seconds, condition, poll=0.02):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(poll)
        raise CannotRun("in %g s not seen: %s" % (seconds, what))

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        if os.environ.get("KEEP"):
            self.note("kept", folder=self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()


def run(folder, case):
    """Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    world = World(folder)
    code = 2
    # Ends every process that was started, whatever happens; well inside the time that a script may take.
    watchdog = threading.Timer(112, lambda: os.kill(os.getpid(), signal.SIGTERM))
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = case(world)
        code = 1 if broken else 0
        world.note("verdict: %s" % ("RULE BROKEN" if broken else "rule held"), exit=code)
    except CannotRun as error:
        world.note("could not run: %s" % error)
    except SystemExit:
        world.note("could not run: out of time")
    finally:
        world.close()
    sys.exit(code)
