"""A runner that ends its answers with their connections, as a process that a test can kill.

Run as ``python -m tests.fleet.unframed_runner RUNNER_ID PORT BORN``. Streams have ``EVENTS``
events; an answer on a path that contains ``quick`` has no pauses.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator

from hillstack.platform import names

EVENTS = 20
PAUSE_SECONDS = 0.05
BODY = b"0123456789" * 20


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, runner_id: str, born: int
) -> None:
    """Answer one request, and close the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    method, target, _ = head.partition("\r\n")[0].split(" ")
    lines = (line.partition(": ") for line in head.split("\r\n")[1:])
    fields = {name.lower(): value for name, _, value in lines}
    if fields.get(names.EXPECT_INSTANCE.lower(), runner_id) != runner_id:
        writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
    elif method == "GET":
        report = json.dumps({"models": [{"name": "model-a", "version": 1}], "born": born})
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(report)}\r\n\r\n{report}".encode())
    else:
        await reader.readexactly(int(fields.get("content-length", "0")))
        writer.write(_head(runner_id, fields[names.REQUEST_ID.lower()]))
        async for piece in _pieces(target, int(fields.get(names.LAST_EVENT_ID.lower(), "0"))):
            writer.write(piece)
            await writer.drain()
    writer.close()


def _head(runner_id: str, request_id: str) -> bytes:
    lines = (
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        f"{names.REQUEST_ID}: {request_id}",
        f"{names.SIGNATURE}: {runner_id}.{request_id}",
        f"{names.VERSIONS}: 1",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def _pieces(target: str, after: int) -> AsyncIterator[bytes]:
    pause = 0.0 if "quick" in target else PAUSE_SECONDS
    if not target.startswith("/stream") and not target.startswith("/ask"):
        for at in range(0, len(BODY), 10):
            yield BODY[at : at + 10]
            await asyncio.sleep(pause)
        return
    for number in range(after + 1, EVENTS + 1):
        yield f"id: {number}\ndata: x\n\n".encode()
        await asyncio.sleep(pause)


async def main(runner_id: str, port: int, born: int) -> None:
    """Serve until killed."""
    server = await asyncio.start_server(
        lambda reader, writer: serve(reader, writer, runner_id, born), "127.0.0.1", port
    )
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
