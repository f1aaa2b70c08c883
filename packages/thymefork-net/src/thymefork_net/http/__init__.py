"""HTTP/1.1 client connection pool and server."""

from .answer import HttpAnswer
from .call import HttpCall
from .client_connection import ClientConnection
from .incoming_request import IncomingRequest
from .pool import HttpPool
from .server import HttpServer
from .server_limits import ServerLimits

__all__ = [
    "ClientConnection",
    "HttpAnswer",
    "HttpCall",
    "HttpPool",
    "HttpServer",
    "IncomingRequest",
    "ServerLimits",
]
