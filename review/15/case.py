"""A deployment whose first configuration has the version 00000000."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
import stand_ins as kit  # noqa: E402

ENTRY, BESIDE = 1, 2
HOST = "hulo84.example"
REQUESTS = 40
# Traffic starts 8 s after the machines do.
LEAD_S = 8


def main():
    fleet = kit.Fleet(HERE)
    version = 0 if fleet.trouble else 7
    try:
        fleet.store.put_config(kit.configuration(
            version, [(HOST, kit.route("r-1", "/leny950/", "huvo11a"))], ["huvo11a", "wuno96b"]))
        upstreams = {ENTRY: kit.Upstream(fleet.address(ENTRY), "wuno96b", fleet.record),
                     BESIDE: kit.Upstream(fleet.address(BESIDE), "huvo11a", fleet.record)}
        for number, upstream in upstreams.items():
            fleet.start_node(number, upstream.service)
        for upstream in upstreams.values():
            upstream.start_beats()
        time.sleep(LEAD_S)

        counts = {}
        for _ in range(REQUESTS):
            identity = kit.new_id()
            try:
                status, got, _ = kit.request(
                    fleet.address(ENTRY), kit.PORTS["outbound"], "GET", "/leny950/2f",
                    kit.client_headers(HOST, identity, 5000))
                signed = "jackdawwind-response-signature" in got
            except (OSError, EOFError, ValueError):
                status, signed = 0, False
            fleet.record("client sends %s, gets %d, signature %s" % (identity, status, signed))
            counts[(status, signed)] = counts.get((status, signed), 0) + 1
            time.sleep(0.25)
        ready = [fleet.is_ready(number) for number in upstreams]
        text = "%d of %d requests served, ready: %s, %s" % (
            counts.get((200, True), 0), REQUESTS, ready, counts)
        print(text)
        fleet.record("result: " + text)
        return 0 if counts.get((200, True), 0) else 1
    finally:
        fleet.close()


if __name__ == "__main__":
    kit.run(main)
