"""Length-prefixed frames on a TCP stream."""

import struct

from thymefork_core.exceptions import ProtocolError

__all__ = ["FrameReader", "frame"]

_LENGTH = struct.Struct("!I")


def frame(data):
    """Return a message prefixed with its length."""
    return _LENGTH.pack(len(data)) + data


class FrameReader:
    """Split a byte stream into length-prefixed messages."""

    def __init__(self, *, limit_bytes, peer=""):
        self._limit_bytes = limit_bytes
        self._peer = peer
        self._buffer = bytearray()

    def feed(self, data):
        """Add received bytes and return the messages that they complete.

        Raises: ProtocolError if a message is longer than the limit.
        """
        self._buffer += data
        messages = []
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > self._limit_bytes:
                message = f"message of {length} bytes exceeds {self._limit_bytes} bytes"
                raise ProtocolError(message, step="frame", peer=self._peer)
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                break
            messages.append(bytes(self._buffer[_LENGTH.size : end]))
            del self._buffer[:end]
        return messages
