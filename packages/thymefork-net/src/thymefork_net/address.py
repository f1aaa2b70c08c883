"""The address of a TCP listener."""

from attrs import frozen

__all__ = ["Address"]


@frozen(kw_only=True)
class Address:
    """Hold the IP address and port of a TCP listener."""

    host: str
    port: int

    @classmethod
    def parse(cls, text):
        """Parse HOST:PORT.

        Raises: ValueError if the port is missing or not a number.
        """
        host, _, port = text.rpartition(":")
        return cls(host=host, port=int(port))

    def __str__(self):
        """Format as HOST:PORT."""
        return f"{self.host}:{self.port}"
