"""A loopback proxy between one daemon and the store, with faults of its own."""

import asyncio
import contextlib

__all__ = ["Proxy"]

CHUNK_BYTES = 65_536


class Proxy:
    """Pass bytes on; `mode` is "", silent, one_way, reset or delay."""

    def __init__(self, *, host, port, target):
        self.mode = ""
        self._host, self._port, self._target = host, port, target
        self._writers = set()
        self._server = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._on_open, self._host, self._port)

    def set_mode(self, mode):
        """Change the fault; resets break what is open."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self._writers):
                writer.transport.abort()

    def stop(self):
        """Stop listening, if it ever began."""
        if self._server is not None:
            self._server.close()

    async def _on_open(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()  # the target is gone, so is this connection
            return
        self._writers |= {writer, far_writer}
        # The soak's end cancels what is still being passed on.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pass(reader, far_writer, ("silent",)),
                self._pass(far_reader, writer, ("silent", "one_way")),
            )
        self._writers -= {writer, far_writer}

    async def _pass(self, reader, writer, blocked_by):
        # A connection that breaks on one side is closed on the other.
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while data := await reader.read(CHUNK_BYTES):
                while self.mode in blocked_by:
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(0.12)
                writer.write(data)
                await writer.drain()
        writer.close()
