"""HTTP client of an entry instance."""

import http.client
from urllib.parse import urlsplit

import orjson
from attrs import frozen

from thymefork_core.exceptions import ThymeforkError

__all__ = ["Answer", "EntryClient"]


@frozen(kw_only=True)
class Answer:
    """Hold the status and the JSON document of an answer."""

    status: int
    document: object


class EntryClient:
    """Send requests to an instance, each on a new connection."""

    def __init__(self, *, url, timeout_s=10.0):
        parts = urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise ThymeforkError(
                f"invalid URL {url}: use one such as http://10.0.0.1:8080",
                step="connect",
            )
        self._host = parts.hostname
        self._port = parts.port or 80
        self._timeout_s = timeout_s

    def get(self, path):
        """Send a GET request.

        Raises: ThymeforkError if the instance does not answer.
        """
        return self._request("GET", path, None)

    def post(self, path, body):
        """Send a POST request.

        Raises: ThymeforkError if the instance does not answer.
        """
        return self._request("POST", path, body)

    def _request(self, method, path, body):
        peer = f"{self._host}:{self._port}"
        connection = http.client.HTTPConnection(
            self._host, self._port, timeout=self._timeout_s
        )
        try:
            connection.request(method, path, body=body)
            answer = connection.getresponse()
            return Answer(status=answer.status, document=orjson.loads(answer.read()))
        except (OSError, http.client.HTTPException, orjson.JSONDecodeError) as failure:
            raise ThymeforkError(
                f"no valid answer: {failure!r}; try another instance",
                step=method.lower(),
                peer=peer,
            ) from failure
        finally:
            connection.close()
