"""DRAIN: an upstream whose leaving was acknowledged gets requests again after many processes were
killed at once.

The upstream beside n2 signs off with POST /instances/ID/deregister and serves on for some seconds.
All nodes are killed at the same moment and start again. A heartbeat that the upstream sent before
it signed off arrives late, at the new process.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import testbed  # noqa: E402

DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# Time for which the upstream serves after its sign-off was acknowledged.
SERVES_ON_S = 10.0
# Delay of the late heartbeat.
LATE_S = 2.2
KILL_AFTER_S = 0.4
RESTART_DELAY_S = 0.5
REQUEST_INTERVAL_S = 0.1


def make_request(identity):
    return (
        f"GET /desk/a HTTP/1.1\r\nHost: desk.example\r\n"
        f"Jackdawwind-Request-Id: {identity}\r\nJackdawwind-Deadline-Ms: 5000\r\n\r\n"
    ).encode()


async def deliver_late(bed, upstream, body):
    await asyncio.sleep(LATE_S)
    status = await upstream.report("heartbeat", body)
    bed.record.write(f"the late heartbeat of {upstream.instance} arrives: {status}")


async def case(make_bed, trouble):
    bed = make_bed(
        [
            ("n1", "zone-a", "region-a", "front"),
            ("n2", "zone-a", "region-a", "desk"),
            ("n3", "zone-b", "region-a", "desk"),
            ("n4", "zone-b", "region-a", "desk"),
        ]
    )
    for name in bed.nodes:
        bed.add_upstream(name)
    await bed.start(
        testbed.make_configuration(
            ["front", "desk"],
            [
                {
                    "host": "desk.example",
                    "name": "r-desk",
                    "path_prefix": "/desk/",
                    "kind": "idempotent",
                    "service": "desk",
                }
            ],
        )
    )
    leaving = bed.upstreams["n2"]
    await bed.wait_until_served(bed.nodes["n1"], make_request)
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)

    late = asyncio.create_task(deliver_late(bed, leaving, leaving.next_heartbeat()))
    await asyncio.sleep(0.1)
    if await leaving.deregister() != 200:
        raise testbed.CannotRun("the sign-off was not acknowledged")
    acknowledged_at = time.monotonic()
    bed.record.write(f"the sign-off of {leaving.instance} is acknowledged")
    await asyncio.sleep(KILL_AFTER_S)
    started_at = acknowledged_at - STABLE_WINDOW_S
    if trouble:
        for node in bed.nodes.values():
            node.signal(signal.SIGKILL)
        for node in bed.nodes.values():
            node.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        for node in bed.nodes.values():
            node.start()
        started_at = time.monotonic()
    await late

    sent = {}
    tasks = []
    while time.monotonic() < acknowledged_at + SERVES_ON_S - 1.0:
        identity = testbed.new_id()
        sent[identity] = time.monotonic()
        tasks.append(
            asyncio.create_task(
                bed.request(bed.nodes["n1"], make_request(identity), identity, 5)
            )
        )
        await asyncio.sleep(REQUEST_INTERVAL_S)
    answers = await asyncio.gather(*tasks)
    if not any(answer is not None and answer.status == 200 for answer in answers):
        raise testbed.CannotRun("no request was served")

    in_touch_from = started_at + STABLE_WINDOW_S
    late_runs = [
        at - acknowledged_at
        for at, identity, _ in leaving.runs
        if identity in sent
        and sent[identity] > in_touch_from
        and at > acknowledged_at + DRAIN_S
    ]
    text = f"requests at the upstream later than drain: {len(late_runs)}"
    if late_runs:
        text += f", {min(late_runs):.1f} to {max(late_runs):.1f} s after the acknowledgement"
    bed.record.write(text)
    print(text)
    return not late_runs


# TROUBLE=0 runs the case without its disruption.
testbed.run_case(
    case, Path(__file__).resolve().parent, trouble=os.environ.get("TROUBLE", "1") != "0"
)
