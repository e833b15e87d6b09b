"""An upstream deregisters at a node that has just been restarted; then a late heartbeat of it arrives."""

import os
import signal
import sys
import threading

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from rig import (  # noqa: E402
    DRAIN_S, RESTART_DELAY_S, STABLE_S, TROUBLE, CouldNotRun, configuration, route, run_case, tenant)

LATE_S = 4.0
REQUESTS_PER_S = 10
# The upstream goes on serving "at times many seconds" after its drain time.
SERVES_ON_S = 8.0


def play(rig):
    routes = [route("/read/", "lager", "idempotent", "5s"), route("/other/", "ordre", "idempotent", "5s")]
    rig.store.append("keyed.op", "config", configuration(12, ["lager", "ordre"], routes, [tenant("t1", "key-1")]))
    entry, _ = rig.machine("sidecar-a-1", "esbjerg", "ordre", "i-ordre-1", lambda message: 0.05)
    _, staying = rig.machine("sidecar-a-2", "esbjerg", "lager", "i-lager-1", lambda message: 0.05)
    beside, leaving = rig.machine("sidecar-a-3", "esbjerg", "lager", "i-lager-2", lambda message: 0.05)
    rig.start()

    ended = threading.Event()

    def press():
        number = 0
        while not ended.is_set():
            number += 1
            threading.Thread(target=rig.ask, daemon=True,
                             args=(entry, f"r-{number}", "GET", "/read/part", "key-1", 5.0)).start()
            ended.wait(1 / REQUESTS_PER_S)

    threading.Thread(target=press, daemon=True).start()
    rig.sleep(1.0)

    # The last heartbeat before the restart: made now, it arrives LATE_S later.
    leaving.beating = False
    late_beat = leaving.said()
    made_at = rig.record.now()
    rig.record.line("upstream i-lager-2 makes a heartbeat that will be late")
    if TROUBLE:
        beside.signal(signal.SIGKILL)
        beside.process.wait()
        rig.sleep(RESTART_DELAY_S)
        beside.start()
    started_at = rig.record.now()
    rig.wait(beside.is_ready, 5.0, "restarted node")
    if leaving.call("deregister", leaving.said("draining")) != 200:
        raise CouldNotRun("the deregistration was not acknowledged")
    acknowledged_at = rig.record.now()
    rig.sleep_until(made_at + LATE_S)
    leaving.call("heartbeat", late_beat)
    rig.sleep_until(acknowledged_at + DRAIN_S + SERVES_ON_S)
    ended.set()
    leaving.server.close()
    rig.sleep(0.5)

    # The entry machine had no disruption; the machine beside the upstream is in touch again from here.
    in_touch_at = started_at + STABLE_S + 0.2
    bound = max(acknowledged_at + DRAIN_S, in_touch_at)
    late = [(at, request) for at, request in leaving.arrivals if at > bound]
    rig.record.line(f"{len(late)} requests reached i-lager-2 after {bound:.3f}; {len(staying.arrivals)} the other one")
    if not late:
        return []
    return [f"DRAIN {len(late)} requests reached i-lager-2 {late[0][0] - acknowledged_at:.1f} to "
            f"{late[-1][0] - acknowledged_at:.1f} s after its deregistration was acknowledged"]


run_case(FOLDER, play)
