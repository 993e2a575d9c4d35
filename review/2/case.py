"""MIXED: an engine that leaves crashes in the middle of answers without a length; they reach clients as complete."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from wire import call  # noqa: E402
from world import DRAIN_S, HOST, TROUBLE, run  # noqa: E402

SERVICE = "huvo11a"
EVENTS = 60
PAUSE_S = 0.1
OTHERS = ("i-02d9e6b4", "i-13c8f5a5", "i-24b70496")
JOB = "7c41e09b52d6a3f8"
ROUTES = [
    {"name": "r-safe", "host": HOST, "path_prefix": "/puxa403/", "kind": "safe", "service": SERVICE,
     "timeout_ms": 12000, "target_ms": 8000, "attempts": 3, "priority": 0},
    {"name": "r-stream", "host": HOST, "path_prefix": "/lohu930/", "kind": "stream", "service": SERVICE,
     "timeout_ms": 12000, "target_ms": 8000, "attempts": 1, "priority": 0, "can_resume": False,
     "gap_target_ms": 500},
    {"name": "r-batch", "host": HOST, "path_prefix": "/pule252/", "kind": "batch", "service": SERVICE,
     "timeout_ms": 30000, "target_ms": 400, "attempts": 3, "priority": 2, "due_ms": 20000, "queue_ttl_s": 60},
]


def whole_body(signature):
    """What the engine's whole body is, by the run in its signature."""
    return signature.replace(".", "#").encode() * 2000


def numbers(lines):
    """The event numbers of lines of data RUN.NUMBER."""
    return [int(line.rsplit(".", 1)[1]) for line in lines if line]


def case(world):
    world.start_nodes(fronts=2)
    world.configure(ROUTES, [SERVICE])
    engine = os.path.join(HERE, "engine.py")
    common = dict(service=SERVICE, zone="abbotsford", events=EVENTS, pause_s=PAUSE_S)
    world.start_engine(engine, "i-7f3a91c2", **common)
    world.wait_ready()
    time.sleep(1)

    answers = {}

    def ask(key, path):
        headers = {"Host": HOST, "Firshore-Request-Id": key, "Firshore-Deadline-Ms": "12000"}
        answer = call(world.front(int(key[-1]) % 2), "POST", path, headers, b"question", 14)
        answers[key] = (path, answer)
        world.note("client answered", id=key, path=path, answer=answer.brief())

    threads = [threading.Thread(target=ask, args=("5afe00000000000%d" % number, "/puxa403/%d" % number))
               for number in range(2)]
    threads += [threading.Thread(target=ask, args=("57ea00000000000%d" % number, "/lohu930/%d" % number))
                for number in range(2)]
    for thread in threads:
        thread.start()
    items = [{"id": "e5b2907c14da6f3%d" % number, "path": "/pule252/%d" % number, "headers": {}, "body": "q83vEjRWeJA=",
              "tokens": 940} for number in range(2)]
    world.submit("/pule252/", JOB, items)
    world.wait("all six at work", 5, lambda: len(world.engine_events("i-7f3a91c2", "run begins")) == 6)
    world.note("all at work at the first engine")

    # Scale-in: three other engines are there, this one says that it leaves and serves on.
    for name in OTHERS:
        world.start_engine(engine, name, **dict(common, pause_s=0.02))
    world.signal("i-7f3a91c2", signal.SIGUSR1)
    world.wait("draining taken by the store", 2,
               lambda: world.store.kinds["servers"]["i-7f3a91c2"]["spec"]["state"] == "draining")
    world.note("the store has acknowledged `draining`")
    time.sleep(DRAIN_S + 0.2)
    if TROUBLE:
        world.kill("i-7f3a91c2")
    for thread in threads:
        thread.join()

    listed = {}

    def all_listed():
        status, page = world.read_results(JOB)
        for result in (page or {}).get("results", []):
            listed[result["id"]] = result
        return len(listed) == len(items)

    world.wait("all items listed", 30, all_listed, poll=0.5)

    broken = []
    for key, (path, answer) in sorted(answers.items()):
        if answer.status != 200 or not answer.complete:
            continue
        signature = answer.headers.get("firshore-response-signature", "")
        if path.startswith("/puxa403/"):
            is_whole = answer.body == whole_body(signature)
            got = len(answer.body), len(whole_body(signature))
        else:
            found = numbers(line[6:] for line in answer.body.decode().split("\n") if line.startswith("data: "))
            is_whole = found == list(range(1, EVENTS + 1))
            got = len(found), EVENTS
        world.note("200, complete on the wire", id=key, path=path, got=got[0], whole=got[1], is_whole=is_whole)
        if not is_whole:
            broken.append(key)
    for item, result in sorted(listed.items()):
        found = numbers(result["text"].split("\n"))
        is_whole = result["state"] != "done" or found == list(range(1, EVENTS + 1))
        world.note("listed", item=item, state=result["state"], events=len(found), whole=EVENTS, is_whole=is_whole)
        if not is_whole:
            broken.append(item)
    for name in ("i-7f3a91c2", *OTHERS):
        for line in world.engine_events(name):
            world.note("engine log " + name, **line)
    for name in world.fronts + world.stores:
        for line in world.log_lines(name, "End not marked"):
            world.note("node log " + name, **{key: line.get(key) for key in ("msg", "request", "backend", "complete",
                                                                            "marked", "position")})
    world.note("MIXED broken for", ids=broken)
    return broken


run(HERE, case)
