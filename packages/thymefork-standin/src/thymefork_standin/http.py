"""A small blocking HTTP client for tests and the demo."""

import http.client
import time

import orjson
from attrs import frozen

__all__ = ["Reply", "call", "wait_until"]


@frozen(kw_only=True)
class Reply:
    """Hold an answer."""

    status: int
    body: bytes

    @property
    def document(self):
        """Return the body as JSON."""
        return orjson.loads(self.body)


def call(port, method, path, document=None, *, timeout_s=10.0, headers=None):
    """Send a request to a port on this machine; status 0 if there is no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    body = document if isinstance(document, bytes) else None
    if document is not None and body is None:
        body = orjson.dumps(document)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return Reply(status=answer.status, body=answer.read())
    except (OSError, http.client.HTTPException) as failure:
        return Reply(status=0, body=repr(failure).encode())
    finally:
        connection.close()


def wait_until(condition, *, timeout_s=15.0, what="the awaited state"):
    """Wait until a condition holds; return its value.

    Raises: TimeoutError if it does not in time.
    """
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        value = condition()
        if value:
            return value
        time.sleep(0.03)
    raise TimeoutError(f"{what} was not seen within {timeout_s} s")
