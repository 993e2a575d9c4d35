"""LOST: items of an open batch job are never listed once the operator has removed the job's route."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from wire import call  # noqa: E402
from world import FINISH_S, HOST, TROUBLE, run  # noqa: E402

SERVICE = "huvo11a"
JOB = "7c41e09b52d6a3f8"
ENGINE = "i-7f3a91c2"
QUEUE_TTL_S = 20
BATCH = {"name": "r-batch", "host": HOST, "path_prefix": "/pule252/", "kind": "batch", "service": SERVICE,
         "timeout_ms": 30000, "target_ms": 400, "attempts": 3, "priority": 2, "due_ms": 20000,
         "queue_ttl_s": QUEUE_TTL_S}
OTHER = {"name": "r-stream", "host": HOST, "path_prefix": "/lohu930/", "kind": "stream", "service": SERVICE,
         "timeout_ms": 8000, "target_ms": 300, "attempts": 1, "priority": 0, "can_resume": False, "gap_target_ms": 500}


def case(world):
    world.start_nodes(fronts=2)
    world.configure([BATCH, OTHER], [SERVICE])
    world.start_engine(os.path.join(HERE, "engine.py"), ENGINE, service=SERVICE, zone="abbotsford", events=30,
                       pause_s=0.01, full=True, slots=8)
    world.wait_ready()
    time.sleep(1)
    items = [{"id": "e5b2907c14da6f3%d" % number, "path": "/pule252/3/%d" % number, "headers": {},
              "body": "q83vEjRWeJA=", "tokens": 940} for number in range(4)]
    world.submit("/pule252/", JOB, items)
    submitted = time.monotonic()
    world.wait("items offered to the full engine", 5, lambda: world.engine_events(ENGINE, "not run"))
    # A new version of the configuration; in trouble it no longer has the batch job's route.
    world.configure([OTHER] if TROUBLE else [BATCH, dict(OTHER, timeout_ms=7000)], [SERVICE])
    time.sleep(2.5)  # Past `config_apply_ms`.
    world.signal(ENGINE, signal.SIGUSR2)
    free_at = time.time()
    # All that was asked has ended; the job gets `finish_s` more, and here also more than `queue_ttl_s`.
    time.sleep(max(FINISH_S, submitted + QUEUE_TTL_S + 10 - time.monotonic()))

    listed, total, seen = {}, None, []
    until = time.monotonic() + 6
    while time.monotonic() < until:
        status, page = world.read_results(JOB)
        seen.append(status)
        if page is not None:
            total = page["total"]
            for result in page["results"]:
                listed[result["id"]] = result["state"]
        time.sleep(0.5)
    health = call("127.0.0.1:%d" % world.engine_port(ENGINE), "GET", "/healthz", {"Host": "engine"}, timeout=2)
    world.note("the engine's health", status=health.status)
    for name in world.fronts:
        world.note("ready", node=name, ready=world.is_ready(name))
    events = world.engine_events(ENGINE)
    for line in events:
        world.note("engine log", **line)
    late = [one for one in events if one["at"] > free_at + 0.5]
    last_5_s = [one for one in events if one["at"] > time.time() - 11]
    world.note("reads", statuses=sorted(set(seen), key=str), total=total, listed=listed,
               engine_lines_since_it_was_free=len(late), engine_lines_in_the_last_s=len(last_5_s))
    unlisted = [item["id"] for item in items if item["id"] not in listed]
    for item in unlisted:
        answer = call(world.front(), "GET", "/v1/items/%s?id=%s" % (JOB, item), {"Host": HOST}, timeout=5)
        world.note("neither done nor dead_letter", item=item, body=answer.brief())
    if 200 not in seen:
        world.note("the job could not be read")
    return unlisted


run(HERE, case)
