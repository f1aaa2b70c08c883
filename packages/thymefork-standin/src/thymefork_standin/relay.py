"""A TCP relay whose links can be cut, for halls that lose each other."""

import asyncio
from contextlib import suppress

import orjson

__all__ = ["Relay"]

READ_BYTES = 65536


class Relay:
    """Pass bytes from listening ports to their targets, unless a link is cut.

    A cut link swallows bytes and holds connections open, as a lost network does.
    """

    def __init__(self, *, host, port):
        self._host = host
        self._port = port
        self._cut = set()
        self._servers = []

    async def run(self):
        """Serve the switch and the links until ended."""
        server = await asyncio.start_server(self._on_switch, self._host, self._port)
        async with server:
            await server.serve_forever()

    async def _on_switch(self, reader, writer):
        """Take one JSON line: links to add, names to cut and to heal."""
        order = orjson.loads(await reader.readline())
        for name, link in order.get("links", {}).items():
            server = await asyncio.start_server(
                self._make_link(name, link), self._host, link["port"]
            )
            self._servers.append(server)
        self._cut.update(order.get("cut", []))
        self._cut.difference_update(order.get("heal", []))
        writer.write(b"ok\n")
        writer.close()

    def _make_link(self, name, link):
        async def on_connect(reader, writer):
            if name in self._cut:
                writer.close()
                return
            try:
                there = await asyncio.open_connection(link["host"], link["to_port"])
            except OSError:
                writer.close()
                return
            await asyncio.gather(
                self._pump(name, reader, there[1]), self._pump(name, there[0], writer)
            )

        return on_connect

    async def _pump(self, name, reader, writer):
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if name not in self._cut:
                    writer.write(data)
                    await writer.drain()
        writer.close()
