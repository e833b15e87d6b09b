"""QUOTA: two nodes grant the quota of one tenant while one of them is being stopped.

One tenant sends many times its usual. One node, which holds the quota of that tenant, gets SIGTERM.
Until its clients have left it, it goes on to grant tokens, and the next holder grants the whole
quota as well.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import testbed  # noqa: E402

# One of the tenants whose quota HOLDER holds.
TENANT = "south"
HOLDER = "n2"
KEY = "6wsjnbanfqasnmgkcuyj"
RATE_PER_S = 80
BURST = 80
# The quota is 1.6 times the usual traffic; hot_tenant multiplies this by 7.5 at most.
USUAL_PER_S = RATE_PER_S / 1.6
HOT_FACTOR = 7.5
QUOTA_WINDOW_S = 5.0
QUOTA_EXCESS = 0.1
QUOTA_SLACK = 20
READINESS_INTERVAL_S = 1.0
MISSES_UNTIL_OUT = 2


def make_request(identity):
    return (
        f"GET /desk/a HTTP/1.1\r\nHost: desk.example\r\nApi-Key: {KEY}\r\n"
        f"Jackdawwind-Request-Id: {identity}\r\nJackdawwind-Deadline-Ms: 5000\r\n\r\n"
    ).encode()


class Clients:
    """Sends the tenant's requests, in equal parts to the nodes that have clients."""

    def __init__(self, bed):
        self.bed = bed
        self.sent = {}
        self.out = set()
        self.tasks = set()
        self.polled = asyncio.Event()

    async def send(self, per_s, seconds):
        """Each node that is out keeps the share of its clients, which then send nothing."""
        names = list(self.bed.nodes)
        start = time.monotonic()
        for index in range(int(per_s * seconds)):
            delay = start + index / per_s - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            name = names[index % len(names)]
            if name in self.out:
                continue
            identity = testbed.new_id()
            self.sent[identity] = time.monotonic()
            task = asyncio.create_task(
                self.bed.request(self.bed.nodes[name], make_request(identity), identity, 6)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def poll_readiness(self):
        """The platform: a node gets no new work after two misses, until it is ready again."""
        misses = dict.fromkeys(self.bed.nodes, 0)
        while True:
            for name, node in self.bed.nodes.items():
                misses[name] = 0 if await node.is_ready() else misses[name] + 1
                if misses[name] >= MISSES_UNTIL_OUT and name not in self.out:
                    self.bed.record.write(f"clients leave {name}")
                    self.out.add(name)
                elif misses[name] == 0 and name in self.out:
                    self.bed.record.write(f"clients return to {name}")
                    self.out.discard(name)
            self.polled.set()
            await asyncio.sleep(READINESS_INTERVAL_S)


def worst_window(runs):
    """Most requests that were both sent and run within one window, and when it began."""
    worst, worst_at = 0, 0.0
    for start, _ in runs:
        count = sum(1 for sent, ran in runs if sent >= start and ran <= start + QUOTA_WINDOW_S)
        if count > worst:
            worst, worst_at = count, start
    return worst, worst_at


async def case(make_bed, trouble):
    bed = make_bed(
        [
            ("n1", "zone-a", "region-a", "desk"),
            ("n2", "zone-a", "region-a", "desk"),
            ("n3", "zone-b", "region-a", "desk"),
            ("n4", "zone-b", "region-a", "desk"),
        ]
    )
    for name in bed.nodes:
        bed.add_upstream(name)
    await bed.start(
        testbed.make_configuration(
            ["desk"],
            [
                {
                    "host": "desk.example",
                    "name": "r-desk",
                    "path_prefix": "/desk/",
                    "kind": "idempotent",
                    "service": "desk",
                }
            ],
            [
                {
                    "name": TENANT,
                    "api_keys": [KEY],
                    "priority": 1,
                    "rate_per_s": RATE_PER_S,
                    "burst": BURST,
                }
            ],
        )
    )
    for node in bed.nodes.values():
        await bed.wait_until_served(node, make_request)
    await asyncio.sleep(8.0)

    clients = Clients(bed)
    poll = asyncio.create_task(clients.poll_readiness())
    await clients.send(USUAL_PER_S, 4.0)
    bed.record.write("the tenant begins to send many times its usual")
    hot = asyncio.create_task(clients.send(USUAL_PER_S * HOT_FACTOR, 10.0))
    await asyncio.sleep(0.5)
    clients.polled.clear()
    await clients.polled.wait()
    if trouble:
        bed.nodes[HOLDER].signal(signal.SIGTERM)
    await hot
    await asyncio.sleep(1.0)
    poll.cancel()

    runs = sorted(
        (clients.sent[identity], at)
        for upstream in bed.upstreams.values()
        for at, identity, _ in upstream.runs
        if identity in clients.sent
    )
    if not runs:
        raise testbed.CannotRun("no request ran")
    worst, worst_at = worst_window(runs)
    bound = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_EXCESS) + QUOTA_SLACK
    text = f"most in {QUOTA_WINDOW_S:.0f} s: {worst}, allowed {bound:.0f}"
    bed.record.write(f"{text}, from {worst_at - bed.record.started:.3f}")
    print(text)
    return worst <= bound


# TROUBLE=0 runs the case without its disruption.
testbed.run_case(
    case, Path(__file__).resolve().parent, trouble=os.environ.get("TROUBLE", "1") != "0"
)
