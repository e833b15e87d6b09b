"""A node gets SIGTERM while requests of its clients wait in the queue of another node."""

import os
import signal
import sys
import threading

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from rig import GRACE_S, LOSS_SLACK_S, TROUBLE, configuration, route, run_case, tenant  # noqa: E402

WORK_S = 3.0
DEADLINE_S = 12.0


def play(rig):
    routes = [route("/repair/", "lager", "non_idempotent", "12s"), route("/other/", "ordre", "idempotent", "5s")]
    rig.store.append("keyed.op", "config", configuration(12, ["lager", "ordre"], routes, [tenant("t1", "key-1")]))
    work_s = lambda message: WORK_S
    leaving, _ = rig.machine("sidecar-a-1", "esbjerg", "ordre", "i-ordre-1", work_s)
    busy, _ = rig.machine("sidecar-a-2", "esbjerg", "ordre", "i-ordre-2", work_s)
    _, upstream = rig.machine("sidecar-a-3", "esbjerg", "lager", "i-lager-1", work_s, slots=2)
    rig.start()

    answers = {}
    sent = {}

    def ask(machine, request):
        sent[request] = rig.record.now()
        status = rig.ask(machine, request, "POST", "/repair/order", "key-1", DEADLINE_S)
        answers[request] = (rig.record.now(), status)

    threads = []

    def send(machine, requests):
        for request in requests:
            threads.append(threading.Thread(target=ask, args=(machine, request)))
            threads[-1].start()
            rig.sleep(0.02)

    # Four requests of one machine's clients keep the two slots of the upstream for six seconds; two
    # requests of the other machine's client wait behind them.
    send(busy, ["b-1", "b-2", "b-3", "b-4"])
    waiting = ["w-1", "w-2"]
    send(leaving, waiting)
    rig.sleep(0.4)
    term_at = rig.record.now()
    if TROUBLE:
        leaving.signal(signal.SIGTERM)
    for thread in threads:
        thread.join()

    broken = []
    ran = {request for _, request in upstream.arrivals}
    for request in waiting:
        at, status = answers[request]
        in_deadline = at < sent[request] + DEADLINE_S - 0.5
        in_window = term_at <= at <= term_at + GRACE_S + 1.0
        read_whole = at > sent[request] + LOSS_SLACK_S
        # The upstream never began the request, so its work is no excuse.
        if TROUBLE and status is None and in_window and in_deadline and read_whole and request not in ran:
            broken.append(f"LOST {request}: sent {term_at - sent[request]:.1f} s before SIGTERM, "
                          f"connection closed without an answer {at - term_at:.1f} s after it")
        elif not TROUBLE and status != 200:
            broken.append(f"{request} got {status} without any disruption")
    return broken


run_case(FOLDER, play)
