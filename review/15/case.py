"""Requests whose header section is just inside the limit of the configuration."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
import stand_ins as kit  # noqa: E402

ENTRY, BESIDE = 1, 2
HOST = "hulo84.example"
REQUESTS = 40
MAX_HEADER_BYTES = 16384


def main():
    fleet = kit.Fleet(HERE)
    size = MAX_HEADER_BYTES if fleet.trouble else MAX_HEADER_BYTES // 2
    try:
        fleet.store.put_config(kit.configuration(
            3, [(HOST, kit.route("r-1", "/leny950/", "huvo11a"))], ["huvo11a", "wuno96b"]))
        upstreams = {ENTRY: kit.Upstream(fleet.address(ENTRY), "wuno96b", fleet.record),
                     BESIDE: kit.Upstream(fleet.address(BESIDE), "huvo11a", fleet.record)}
        for number, upstream in upstreams.items():
            fleet.start_node(number, upstream.service)
        fleet.wait_ready(upstreams)
        for upstream in upstreams.values():
            upstream.start_beats()
        time.sleep(4)

        counts = {}
        for _ in range(REQUESTS):
            identity = kit.new_id()
            headers = kit.client_headers(HOST, identity, 5000)
            section = "GET /leny950/2f HTTP/1.1\r\n" + "".join(
                "%s: %s\r\n" % item for item in headers) + "Cookie: \r\n\r\n"
            headers.append(("Cookie", "c" * (size - len(section))))
            try:
                status, got, _ = kit.request(fleet.address(ENTRY), kit.PORTS["outbound"], "GET",
                                             "/leny950/2f", headers)
                signed = "jackdawwind-response-signature" in got
            except (OSError, EOFError, ValueError):
                status, signed = 0, False
            fleet.record("client sends %s, header section of %d bytes, gets %d, signature %s"
                         % (identity, size, status, signed))
            key = (status, signed)
            counts[key] = counts.get(key, 0) + 1
        denied = sum(count for (status, signed), count in counts.items()
                     if 300 <= status < 500 and status not in (408, 421, 429) and not signed)
        text = "%d of %d proper requests ended with a 3xx or 4xx: %s" % (denied, REQUESTS, counts)
        print(text)
        fleet.record("result: " + text)
        if not fleet.trouble and counts.get((200, True), 0) != REQUESTS:
            raise kit.CannotRun("not all requests were served")
        return 1 if denied > 5 + REQUESTS / 500 else 0
    finally:
        fleet.close()


if __name__ == "__main__":
    kit.run(main)
