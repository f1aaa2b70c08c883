"""Reading the platform's instance list, which lags."""

from circuits import BaseComponent, handler

from thymefork_core.exceptions import ThymeforkError
from thymefork_core.node import messages as m
from thymefork_wire.strict import parse_document

from .clock import mono_ms
from .events import BRAIN, deliver
from .http_calls import HttpCall
from .http_pool import HttpPool
from .instance_list import InstanceList

__all__ = ["ListReader"]

WAIT_MS = 4000
PATIENCE_MS = 5500
BACKOFF_MS = 400
OK = 200


class ListReader(BaseComponent):
    """Keep one long read of the list open."""

    channel = "list-reader"

    def init(self, address, name, hall, on_list):
        """Prepare a reader; `on_list` takes each new state of the list."""
        self._address = address
        self._target = f"/instances?viewer={name}&hall={hall}"
        self._on_list = on_list
        self._version = -1
        self._due_mono_ms = None
        self.pool = HttpPool(channel="list-reader-http").register(self)

    @handler("started", channel="*")
    def _on_started(self, manager):
        self._read()

    @handler("sweep", channel="*")
    def _on_sweep(self):
        """Read again when a pause is over."""
        if self._due_mono_ms is not None and mono_ms() >= self._due_mono_ms:
            self._due_mono_ms = None
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
            self._due_mono_ms = mono_ms() + BACKOFF_MS
            return
        try:
            found = parse_document(result.body, InstanceList)
        except ThymeforkError:
            self._due_mono_ms = mono_ms() + BACKOFF_MS
            return
        if found.version != self._version:
            self._version = found.version
            self._on_list(found)
            message = m.ListRead(instances=found.instances, workers=found.workers)
            self.fire(deliver(message), BRAIN)
        self._read()
