"""Reading the platform's instance list, which lags."""

from circuits import BaseComponent, Event, Timer, handler

from thymefork_core.exceptions import ThymeforkError
from thymefork_core.node import messages as m
from thymefork_wire.strict import parse_document

from .clock import mono_ms
from .events import BRAIN, deliver
from .http_calls import HttpCall
from .http_pool import HttpPool
from .instance_list import InstanceList

__all__ = ["ListReader"]

WAIT_MS = 1000
PATIENCE_MS = 2000
BACKOFF_S = 0.5
OK = 200


class _list_again(Event):  # noqa: N801 - circuits names events in lower case
    """Read the list after a pause."""


class ListReader(BaseComponent):
    """Keep one long read of the list open."""

    channel = "list-reader"

    def init(self, address, name, hall, on_list):
        """Prepare a reader; `on_list` takes each new state of the list."""
        self._address = address
        self._target = f"/instances?viewer={name}&hall={hall}"
        self._on_list = on_list
        self._version = -1
        self.pool = HttpPool(channel="list-reader-http").register(self)

    @handler("started", channel="*")
    def _on_started(self, manager):
        self._read()

    @handler("_list_again")
    def _on_list_again(self):
        self._read()

    def _read(self):
        self.pool.request(
            HttpCall(
                address=self._address,
                method="GET",
                target=f"{self._target}&known={self._version}&wait_ms={WAIT_MS}",
                deadline_mono_ms=mono_ms() + PATIENCE_MS,
                on_result=self._on_read,
            )
        )

    def _on_read(self, result):
        if result.status != OK:
            Timer(BACKOFF_S, _list_again(), self.channel).register(self)
            return
        try:
            found = parse_document(result.body, InstanceList)
        except ThymeforkError:
            Timer(BACKOFF_S, _list_again(), self.channel).register(self)
            return
        if found.version != self._version:
            self._version = found.version
            self._on_list(found)
            message = m.ListRead(instances=found.instances, workers=found.workers)
            self.fire(deliver(message), BRAIN)
        self._read()
