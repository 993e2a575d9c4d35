"""ORDER: the text of an item is joined of two runs of which neither goes on from the other."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from world import HOST, TROUBLE, ZONES, run  # noqa: E402

SERVICE = "huvo11a"
EVENTS = 164
BREAK_OFF = 40
KILL_AT = 100
PAUSE_S = 0.03
JOB = "7c41e09b52d6a3f8"
ITEM = "e5b2907c14da6f38"
OLD, NEW = "i-7f3a91c2", ("i-02d9e6b4", "i-13c8f5a5", "i-24b70496")
ROUTES = [
    {"name": "r-batch", "host": HOST, "path_prefix": "/pule252/", "kind": "batch", "service": SERVICE,
     "timeout_ms": 30000, "target_ms": 400, "attempts": 3, "priority": 2, "due_ms": 20000, "queue_ttl_s": 60},
]


def case(world):
    world.start_nodes(fronts=1)
    world.configure(ROUTES, [SERVICE])
    engine = os.path.join(HERE, "engine.py")
    common = dict(service=SERVICE, events=EVENTS, pause_s=PAUSE_S, break_off=BREAK_OFF if TROUBLE else 0)
    world.wait("a leader of the journal", 10, world.leader)
    home = world.nodes[world.leader()]["zone"]
    world.start_engine(engine, OLD, zone=home, version="v1", **common)
    world.wait_ready()
    time.sleep(1)
    item = {"id": ITEM, "path": "/pule252/3/91c4", "headers": {}, "body": "q83vEjRWeJA=", "tokens": 940}
    world.submit("/pule252/", JOB, [item])
    world.wait("the item at work", 5, lambda: world.engine_events(OLD, "run begins"))
    # The engines are being replaced: those of the next version are there already, and full.
    away = [zone for zone in ZONES if zone != home]
    for number, name in enumerate(NEW):
        world.start_engine(engine, name, zone=away[number % 2], version="v2", full=True, **common)

    if TROUBLE:
        def fresh_runs():
            begun = world.engine_events(OLD, "run begins")
            return [one["run"] for one in begun if one["after"] is None]

        def reached():
            runs = fresh_runs()
            progress = world.engine_events(OLD, "progress")
            return len(runs) == 2 and any(one["run"] == runs[1] and one["event_number"] >= KILL_AT for one in progress)

        world.wait("the item begun anew and well on its way", 40, reached)
        leader = world.leader()
        if leader is None:
            raise SystemExit(2)
        world.kill(leader)
        time.sleep(1)
        world.start_node(leader)

    listed = []

    def is_listed():
        _, page = world.read_results(JOB)
        listed[:] = (page or {}).get("results", [])
        return listed

    world.wait("the item listed", 40, is_listed, poll=0.5)
    result = listed[0]
    lines = [line.rsplit(".", 1) for line in result["text"].split("\n")]
    after = {one["run"]: one["after"] for one in world.engine_events(OLD, "run begins")}
    for name in (OLD, *NEW):
        for line in world.engine_events(name):
            if line["event"] not in ("progress", "not run"):
                world.note("engine log " + name, **line)
    for name in world.stores:
        for line in world.log_lines(name, "runner: "):
            facts = {key: line[key] for key in ("msg", "end", "resumed_after", "produced", "discarded", "backend", "term")
                     if key in line}
            world.note("node log " + name, **facts)

    broken = []
    if result["state"] == "done":
        parts = []
        for index, (name, number) in enumerate(lines):
            if int(number) != index + 1:
                broken.append("event %d stands where %d is due" % (int(number), index + 1))
            if not parts or parts[-1][0] != name:
                parts.append([name, int(number), int(number)])
                begun_after = after.get(name)
                if index and begun_after != index:
                    broken.append("after event %d the text goes on with %s, which was requested with Last-Event-Id %s"
                                  % (index, name, begun_after))
            parts[-1][2] = int(number)
        if len(lines) != EVENTS:
            broken.append("%d events of %d" % (len(lines), EVENTS))
        world.note("text", parts=["%s: %d to %d" % tuple(part) for part in parts])
    world.note("listed", state=result["state"], events=len(lines))
    for line in broken:
        world.note("ORDER: " + line)
    return broken


run(HERE, case)
