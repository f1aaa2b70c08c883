"""Loopback proxy between one daemon and the store that injects network faults."""

import asyncio
import contextlib

__all__ = ["Proxy"]

CHUNK_BYTES = 65_536


class Proxy:
    """Forward bytes; `mode` is "", silent, one_way, reset or delay."""

    def __init__(self, *, host, port, target):
        self.mode = ""
        self._host, self._port, self._target = host, port, target
        self._writers = set()
        self._server = None

    async def start(self):
        """Start to listen."""
        self._server = await asyncio.start_server(self._on_open, self._host, self._port)

    def set_mode(self, mode):
        """Set the fault; `reset` also aborts open connections."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self._writers):
                writer.transport.abort()

    def stop(self):
        """Stop listening if started."""
        if self._server is not None:
            self._server.close()

    async def _on_open(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        # Transfers are cancelled when the soak test ends.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target_writer, ("silent",)),
                self._forward(target_reader, writer, ("silent", "one_way")),
            )
        self._writers -= {writer, target_writer}

    async def _forward(self, reader, writer, blocked_by):
        # If one side breaks, close the other.
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while data := await reader.read(CHUNK_BYTES):
                while self.mode in blocked_by:
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(0.12)
                writer.write(data)
                await writer.drain()
        writer.close()
