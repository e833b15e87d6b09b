"""A machine stands still while its node opens connections to an upstream whose queue of new connections is
full. When it goes on, the connections stand and the requests' time is over."""

import os
import signal
import sys
import threading

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from rig import TROUBLE, configuration, route, run_case, tenant  # noqa: E402

FREEZE_S = 3.0
# Time in which the upstream accepts no new connection.
PAUSE_S = 0.7
BOOKINGS = 6


def play(rig):
    services = ["lager", "ordre"]
    routes = [route("/order/", "ordre", "non_idempotent", "2s"), route("/read/", "lager", "idempotent", "5s")]
    rig.store.append("keyed.op", "config", configuration(12, services, routes, [tenant("t1", "key-1")]))
    machine, upstream = rig.machine("sidecar-a-1", "esbjerg", "ordre", "i-ordre-1", lambda message: 0.05, backlog=0)
    rig.machine("sidecar-a-2", "esbjerg", "lager", "i-lager-1", lambda message: 0.05)
    rig.start()

    answers = {}

    def ask(request):
        answers[request] = rig.ask(machine, request, "POST", "/order/crane", "key-1", 6.0)

    upstream.server.accepting.clear()
    rig.record.line("upstream i-ordre-1 accepts no connections for a moment")
    resume = threading.Timer(PAUSE_S, upstream.server.accepting.set)
    resume.start()
    threads = [threading.Thread(target=ask, args=(f"o-{number}",)) for number in range(1, BOOKINGS + 1)]
    for thread in threads:
        thread.start()
    rig.sleep(0.25)
    if TROUBLE:
        machine.signal(signal.SIGSTOP)
        rig.sleep(FREEZE_S)
        machine.signal(signal.SIGCONT)
    for thread in threads:
        thread.join()
    # Work that began may go on after the answer.
    rig.sleep(1.0)

    ran = {request for _, request in upstream.arrivals}
    return [f"REFUSED {request}: answered {status}, and it ran"
            for request, status in sorted(answers.items()) if status in (429, 503, 408, 421) and request in ran]


run_case(FOLDER, play)
