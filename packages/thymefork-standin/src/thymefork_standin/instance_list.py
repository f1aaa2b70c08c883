"""A stand-in of the platform's instance list, which lags."""

from .json_server import JsonServer

__all__ = ["InstanceListService"]


class InstanceListService(JsonServer):
    """Serve a list that tests set; changes show after a lag."""

    def init(self, host, port, lag_s=0.0):
        """Listen at a place with an empty list."""
        super().init(host, port)
        self._lag_s = lag_s
        self._version = 0
        self._instances = {}
        self._workers = {}
        self._routes = {}
        self._waiting = []
        self._outage = False

    def get_instances(self, answer, parts, query, body):
        """Return the list as a viewer sees it, or wait for a change."""
        if self._outage:
            self.reply(answer, {"error": "outage"}, status=503)
            return
        if int(query.get("known", -1)) != self._version:
            self._serve(answer, query)
            return
        item = (answer, query)
        self._waiting.append(item)
        wait_s = int(query.get("wait_ms", 0)) / 1000
        self.later.call(wait_s, lambda: self._serve_waiting(item))

    def _serve_waiting(self, item):
        if item in self._waiting:
            self._waiting.remove(item)
            self.reply(item[0], {"version": self._version})

    def _serve(self, answer, query):
        viewer, hall = query.get("viewer", ""), query.get("hall", "")
        instances = [
            {**entry, **self._routes.get(viewer, {}).get(entry["name"], {})}
            for entry in self._instances.values()
        ]
        workers = [w for w in self._workers.values() if w["hall"] == hall]
        document = {
            "version": self._version,
            "instances": instances,
            "workers": workers,
        }
        self.reply(answer, document)

    def post_set(self, answer, parts, query, body):
        """Change entries; None removes one."""
        self._outage = body.get("outage", self._outage)
        self._lag_s = body.get("lag_ms", self._lag_s * 1000) / 1000
        if self._lag_s:
            self.later.call(self._lag_s, lambda: self._change(body))
        else:
            self._change(body)
        self.reply(answer, {"ok": True})

    def _change(self, body):
        parts = (
            (self._instances, body.get("instances", {})),
            (self._workers, body.get("workers", {})),
            (self._routes, body.get("routes", {})),
        )
        if not any(changes for _, changes in parts):
            return
        for entries, changes in parts:
            for name, entry in changes.items():
                if entry is None:
                    entries.pop(name, None)
                else:
                    entries[name] = entry
        self._version += 1
        waiting, self._waiting = self._waiting, []
        for answer, query in waiting:
            self._serve(answer, query)
