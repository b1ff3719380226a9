"""Serves many idle engines from one process.

They respond only to control calls and are used where only the number of
backend servers matters. The output is ``ready`` and a JSON list of their
addresses.
"""

import argparse
import asyncio
import json
import signal

LOAD_REPORT = {
    "models": ["quiet"],
    "version": "1",
    "adapters": [],
    "pieces_total": 20,
    "pieces_free": 20,
    "running": 0,
    "waiting": 0,
    "prefill_queue_tokens": 0,
    "fence": 0,
    "age_s": 0.1,
}
OTHER_RESPONSES = {
    "/v1/requests": {"requests": []},
    "/v1/cache/events": {"seq": 0, "events": []},
}


class Engine:
    """Responds to the control calls to one engine, which is always idle."""

    def __init__(self, role: str):
        self._load = {"role": role, **LOAD_REPORT}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the calls on one connection."""
        try:
            while line := await reader.readline():
                path = line.split()[1].decode().partition("?")[0]
                await _skip_headers_and_body(reader)
                writer.write(_format(OTHER_RESPONSES.get(path, self._load)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def _skip_headers_and_body(reader: asyncio.StreamReader) -> None:
    """Reads and discards the headers and the body of a request."""
    size = 0
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            size = int(value)
    await reader.readexactly(size)


def _format(value: dict) -> bytes:
    body = json.dumps(value).encode()
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def serve(number: int) -> None:
    """Serves ``number`` engines until SIGTERM; every fifth is for prefill."""
    addresses = []
    servers = []
    for index in range(number):
        role = "decode" if index % 5 else "prefill"
        server = await asyncio.start_server(
            Engine(role).serve, "127.0.0.1", 0, backlog=128
        )
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        addresses.append({"address": f"127.0.0.1:{port}", "role": role})
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    print(f"ready {json.dumps(addresses, separators=(',', ':'))}", flush=True)
    await stop.wait()


def main() -> None:
    """Runs the engines as a process until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--number", type=int, required=True)
    asyncio.run(serve(parser.parse_args().number))


if __name__ == "__main__":
    main()
