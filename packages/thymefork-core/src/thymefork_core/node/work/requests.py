"""Callers' requests for recorded work, each answered once."""

from attrs import Factory, define

__all__ = ["OpenRequest", "Requests"]


@define(kw_only=True)
class OpenRequest:
    """Hold a request and the answers that it has so far."""

    request_id: str
    work_ids: tuple[str, ...]
    answers: dict = Factory(dict)


class Requests:
    """Match final answers of works with the requests that wait for them."""

    def __init__(self):
        self.open = {}
        self._waiting = {}

    def __len__(self):
        return len(self.open)

    def add(self, request_id, work_ids):
        """Open a request for works."""
        request = OpenRequest(request_id=request_id, work_ids=tuple(work_ids))
        self.open[request_id] = request
        for work_id in work_ids:
            self._waiting.setdefault(work_id, {})[request_id] = request
        return request

    def waits_for(self, work_id):
        """Tell whether any request waits for a work."""
        return work_id in self._waiting

    def answer(self, answer):
        """Give a work's final answer; return the requests that are complete."""
        waiting = self._waiting.pop(answer.work_id, {}).values()
        return [request for request in waiting if self._fill(request, answer)]

    def answer_one(self, request_id, answer):
        """Give an answer to one request only; return it if it is complete."""
        request = self.open[request_id]
        self._stop_waiting(request, answer.work_id)
        return [request] if self._fill(request, answer) else []

    def _fill(self, request, answer):
        request.answers[answer.work_id] = answer
        complete = len(request.answers) == len(set(request.work_ids))
        if complete:
            del self.open[request.request_id]
        return complete

    def _stop_waiting(self, request, work_id):
        waiting = self._waiting.get(work_id, {})
        waiting.pop(request.request_id, None)
        if not waiting:
            self._waiting.pop(work_id, None)

    def drop(self, request_id):
        """Forget the request of a caller that has gone."""
        request = self.open.pop(request_id, None)
        if request is None:
            return
        for work_id in request.work_ids:
            self._stop_waiting(request, work_id)
