"""UNASKED: the body of a request runs as a request of its own.

A client sends a POST whose body is in a transfer coding that the node does not know, and contains
the text of a second request. The node takes the POST for a request without a body, and what follows
for the next request on the connection.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import testbed  # noqa: E402

CODINGS = ["gzip", "deflate", "chunked, gzip"]
READ_S = 1.0


def make_request(identity, framing, body=b"", method="POST", path="/ticket/open"):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\n"
        f"Jackdawwind-Request-Id: {identity}\r\nJackdawwind-Deadline-Ms: 3000\r\n{framing}\r\n"
    ).encode() + body


async def send(bed, node, identity, data):
    """Sends the bytes on one connection, and records all answers that come back on it."""
    bed.record.write(f"client of {node.name} sends {identity}: {data!r}")
    reader, writer = await asyncio.open_connection(node.host, node.ports["outbound"])
    writer.write(data)
    try:
        async with asyncio.timeout(READ_S):
            while True:
                answer = await testbed.read_message(reader)
                bed.record.write(
                    f"client of {node.name} got {answer.status} for"
                    f" {answer.fields.get('jackdawwind-request-id', 'no id')}"
                )
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        bed.record.write(f"client of {node.name} closes its connection: {error!r}")
    writer.close()


async def case(make_bed, trouble):
    bed = make_bed(
        [
            ("n1", "zone-a", "region-a", "front"),
            ("n2", "zone-a", "region-a", "desk"),
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
                    "name": "r-ticket",
                    "path_prefix": "/ticket/",
                    "kind": "non_idempotent",
                    "service": "desk",
                }
            ],
        )
    )
    node = bed.nodes["n1"]
    await bed.wait_until_served(
        node, lambda identity: make_request(identity, "Content-Length: 0\r\n")
    )
    sent = []
    inner = []
    for coding in CODINGS:
        identity, inner_identity = testbed.new_id(), testbed.new_id()
        sent.append(identity)
        inner.append(inner_identity)
        body = make_request(
            inner_identity, "Content-Length: 0\r\n", path="/ticket/close-all"
        )
        framing = (
            f"Transfer-Encoding: {coding}\r\n" if trouble else f"Content-Length: {len(body)}\r\n"
        )
        await send(bed, node, identity, make_request(identity, framing, body))

    ran = [identity for up in bed.upstreams.values() for _, identity, _ in up.runs]
    smuggled = [identity for identity in inner if identity in ran]
    if not trouble and not all(identity in ran for identity in sent):
        raise testbed.CannotRun("a request with a length was not served")
    text = f"requests that ran from inside a body: {len(smuggled)} of {len(inner)}"
    bed.record.write(text)
    print(text)
    return not smuggled


testbed.run_case(case, Path(__file__).resolve().parent)
