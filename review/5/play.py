"""A node gets SIGTERM while a client reads a long answer slowly."""

import os
import signal
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from rig import GRACE_S, TROUBLE, configuration, route, run_case, tenant  # noqa: E402

ANSWER_BYTES = 3_000_000
READ_BYTES_PER_S = 650_000
# As on an Ethernet link; the loopback link would give the node's socket a buffer of megabytes.
SEGMENT_BYTES = 1460
RECEIVE_BYTES = 16384
DEADLINE_S = 10.0


def read_slowly(rig, machine, request, on_first_bytes):
    """A client that reads at READ_BYTES_PER_S. Returns the bytes of the body, its stated length and when
    the connection ended or the answer was whole."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.settimeout(DEADLINE_S)
    sock.connect((machine.address, machine.outbound))
    sock.sendall((f"GET /read/log HTTP/1.1\r\nHost: shop.example\r\nJackdawwind-Request-Id: {request}\r\n"
                  f"Jackdawwind-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nApi-Key: key-1\r\n\r\n").encode())
    rig.record.line(f"client on {machine.name} sends {request} GET /read/log")
    data, length, started = b"", None, None
    while length is None or len(data) < length:
        try:
            more = sock.recv(4096)
        except OSError as error:
            rig.record.line(f"client: {error}")
            break
        if not more:
            break
        if started is None:
            started = time.monotonic()
            on_first_bytes()
        data += more
        if length is None and b"\r\n\r\n" in data:
            head, data = data.split(b"\r\n\r\n", 1)
            rig.record.line(f"client gets {head.split(bytes([13]))[0].decode()}")
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        time.sleep(max(started + len(data) / READ_BYTES_PER_S - time.monotonic(), 0))
    sock.close()
    return len(data), length, rig.record.now()


def play(rig):
    routes = [route("/read/", "lager", "idempotent", "10s"), route("/other/", "ordre", "idempotent", "5s")]
    rig.store.append("keyed.op", "config", configuration(12, ["lager", "ordre"], routes, [tenant("t1", "key-1")]))
    leaving, _ = rig.machine("sidecar-a-1", "esbjerg", "ordre", "i-ordre-1", lambda message: 0.05)
    rig.machine("sidecar-a-2", "esbjerg", "lager", "i-lager-1", lambda message: 0.05,
                answer_bytes=lambda message: ANSWER_BYTES)
    rig.start()

    term_at = [0.0]

    def stop():
        term_at[0] = rig.record.now()
        if TROUBLE:
            leaving.signal(signal.SIGTERM)

    got, length, ended_at = read_slowly(rig, leaving, "r-1", stop)
    after = ended_at - term_at[0]
    rig.record.line(f"client has {got} of {length} bytes {after:.1f} s after the first ones")
    if length == ANSWER_BYTES and got == length:
        return []
    if after > GRACE_S - 0.5:
        return [] if TROUBLE else ["the answer took too long without any disruption"]
    return [f"LOST r-1: the answer ended after {got} of {length} bytes, {after:.1f} s after SIGTERM"]


run_case(FOLDER, play)
