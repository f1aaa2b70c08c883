"""Services that the operators' file declares: kept running, closed when taken out."""

from itertools import count

from thymefork_core.hashing import stable_hash
from thymefork_core.ledger import Accept
from thymefork_core.log import Stream
from thymefork_core.model import WorkKind, WorkSpec
from thymefork_core.reasons import Reason

__all__ = ["Standing"]

PREFIX = "standing:"
EVERY_MS = 1000
NEVER_MS = 10**15


class Standing:
    """Submit what the file declares for this hall, and close what it does not.

    The first live name of the hall does it; the log takes an id only once.
    """

    def __init__(self, *, context, home):
        self.ctx = context
        self.home = home
        self._due_mono_ms = 0
        self._submitted = set()

    def tick(self):
        """Compare the file with what is accepted, now and then."""
        ctx = self.ctx
        if ctx.now.mono_ms < self._due_mono_ms or not ctx.is_ready:
            return
        self._due_mono_ms = ctx.now.mono_ms + EVERY_MS
        live = ctx.members.live(ctx.now.mono_ms, hall=ctx.hall)
        if ctx.log_is_down or ctx.name > min((m.name for m in live), default=ctx.name):
            return
        wanted = {
            self._work_id(work): work
            for work in ctx.file.standing
            if work.hall == ctx.hall
        }
        for work_id, work in wanted.items():
            self._submit(work_id, work)
        self._close_others(wanted)

    def _work_id(self, work):
        """Name a declaration; a new name after it was closed and declared again."""
        digest = stable_hash(repr(work))
        for generation in count(1):
            work_id = f"{PREFIX}{work.name}:{digest:x}:{generation}"
            if work_id not in self.ctx.ledger.state.closed:
                return work_id

    def _submit(self, work_id, work):
        ctx = self.ctx
        if work_id in self._submitted or ctx.accepted.get(work_id) is not None:
            return
        self._submitted.add(work_id)
        spec = WorkSpec(
            work_id=work_id,
            kind=WorkKind.SERVICE,
            team=work.team,
            resources=work.resources,
            submitted_at_ms=ctx.now.wall_ms,
            deadline_ms=NEVER_MS,
            run_ms=0,
        )
        ctx.record(Accept(hall=ctx.hall, spec=spec), Stream.ACCEPTED)

    def _close_others(self, wanted):
        ctx = self.ctx
        for work_id in ctx.accepted.services(PREFIX):
            work = ctx.accepted.get(work_id)
            closed = work_id in ctx.ledger.state.closed
            if work.hall == ctx.hall and work_id not in wanted and not closed:
                self.home.close(work.spec, Reason.CANCELLED)
