"""All instances but one are killed at once while streams run. Their callers take them up at the one that is left."""

import pathlib
import re
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import deployment as d

# Machines and requests a second of each zone, as in the site file.
ZONES = {"halle-nord": (3, 9.76), "halle-sued": (2, 11.0), "halle-ost": (2, 11.5), "halle-west": (1, 12.0)}
STREAMS = 90
NEW_STREAMS = 30
START_S = 2.0
KILL_AT_S = 3.0
EVENTS = 36
GAP_MS = 150
DEADLINE_MS = 8000
TRIES = 2


def play(dep, has_trouble):
    dep.configure(
        1,
        [d.route("/stream/check/", "streaming", "pool", DEADLINE_MS, can_resume=True, max_attempts=2)],
        [d.service("pool", 370)],
    )
    zones = list(ZONES)
    for n in range(8):
        options = {"framing": "chunks", "events": EVENTS, "gap_ms": GAP_MS}
        dep.start_runner(f"i-{n}", "pool", zones[n // 2], version=f"v{1 + n % 2}", **options)
    weights = []
    for zone, (count, per_s) in ZONES.items():
        for n in range(count):
            instance = dep.start_instance(f"front-{zone}-{n + 1}", zone)
            weights.append((instance, per_s / count))
    dep.wait_ready()
    left = dep.instances[0]
    total = sum(w for _, w in weights)
    connections = {}
    result = {}

    def instance_of(n):
        """Returns the instance of a stream: each gets its part of the requests."""
        at = (n + 0.5) / STREAMS * total
        for instance, weight in weights:
            if at < weight:
                return instance
            at -= weight
        return weights[-1][0]

    def last_id(body):
        complete = body[: body.rfind(b"\n\n") + 2] if b"\n\n" in body else b""
        ids = re.findall(rb"id: (\d+)\n", complete)
        return int(ids[-1]) if ids else 0

    def stream(n):
        rid, instance = f"s{n:03d}", instance_of(n)
        dep.record(event="sent", id=rid, to=instance["name"])
        start = time.monotonic()
        with d.connect(instance) as s:
            connections[rid] = (instance, s)
            answer = d.call_on(s, rid, "POST", f"/stream/check/{n}", rid.encode(), DEADLINE_MS)
        last = last_id(answer.body)
        dep.record(event="answered", id=rid, last_id=last, **answer.summary())
        if answer.is_complete or not last:
            return
        result[rid] = False
        for attempt in range(1, TRIES + 1):
            left_ms = round(DEADLINE_MS - (time.monotonic() - start) * 1000)
            headers = {"Resumes": rid, "Last-Event-Id": last}
            taken_up = d.call(left, f"{rid}t{attempt}", "POST", f"/stream/check/{n}", rid.encode(), left_ms, headers)
            first = re.search(rb"id: (\d+)\n", taken_up.body)
            goes_on = taken_up.status == 200 and first is not None and int(first.group(1)) == last + 1
            dep.record(
                event="taken up",
                id=rid,
                after=last,
                goes_on=goes_on,
                reason=taken_up.body[:120].decode() if taken_up.status != 200 else None,
                **taken_up.summary(),
            )
            if goes_on:
                result[rid] = True
                return
            time.sleep(float(taken_up.headers.get("retry-after", 0.2)))

    threads = [threading.Thread(target=stream, args=(n,)) for n in range(STREAMS)]
    start = time.monotonic()
    for n, t in enumerate(threads):
        time.sleep(max(0, start + n * START_S / STREAMS - time.monotonic()))
        t.start()
    time.sleep(max(0, start + KILL_AT_S - time.monotonic()))
    if has_trouble:
        for instance in dep.instances[1:]:
            instance["process"].send_signal(signal.SIGKILL)
        dep.record(event="killed", instances=[i["name"] for i in dep.instances[1:]])
    else:
        # The callers of the same instances lose their connections, and nothing else happens.
        for instance, s in list(connections.values()):
            if instance is not left:
                s.shutdown(socket.SHUT_RDWR)
        dep.record(event="connections closed by the callers")
    new = []

    def begin(n):
        answer = d.call(left, f"n{n:03d}", "POST", f"/stream/check/new{n}", b"new", DEADLINE_MS)
        dep.record(event="answered", id=f"n{n:03d}", **answer.summary())
        new.append(answer.status == 200 and answer.is_complete)

    beginners = [threading.Thread(target=begin, args=(n,)) for n in range(NEW_STREAMS)]
    for t in beginners:
        t.start()
        time.sleep(0.03)
    for t in threads + beginners:
        t.join()
    taken_up = list(result.values())
    shares = (sum(taken_up) / max(1, len(taken_up)), sum(new) / max(1, len(new)))
    summary = f"{sum(taken_up)} of {len(taken_up)} streams taken up go on ({shares[0]:.2f}), {sum(new)} of {len(new)} new ones begin"
    dep.record(event="summary", what=summary)
    print(summary)
    if len(taken_up) >= 12 and shares[0] < shares[1] / 2:
        return [f"LOST: {summary}"]
    return []


d.main(play)
