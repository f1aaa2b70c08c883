"""Putting operators' files in force through the log, and spreading them."""

from attrs import define

from thymefork_core.config import ConfigVersion
from thymefork_core.log import Stream
from thymefork_core.peer import ConfigPull

from .effects import ReplyApplied, SaveCheckpoint, SendPeer

__all__ = ["Configurator"]

APPLY_PATIENCE_MS = 5000
# A version that another instance has accepted is read here within this time.
BASE_PATIENCE_MS = 1000


@define(kw_only=True)
class _Applying:
    """An operator's request whose record is on its way.

    Units: `until_mono_ms` is on the monotonic clock.
    """

    request_id: str
    candidate: ConfigVersion
    until_mono_ms: int


@define(kw_only=True)
class _Waiting:
    """An operator's request whose base was not read here yet.

    Units: `until_mono_ms` is on the monotonic clock.
    """

    message: object
    until_mono_ms: int


class Configurator:
    """Apply a file over its base; the log's order says who wins."""

    def __init__(self, *, context):
        self.ctx = context
        self.applying = {}
        self._waiting = []
        self._count = 0
        self._checkpoint_due_mono_ms = 0
        self._logged_version = 0

    def __len__(self):
        return len(self.applying) + len(self._waiting)

    def apply(self, message):
        """Take an operator's file, refuse it, or wait until its base is read here."""
        ctx = self.ctx
        if ctx.log_is_down or not ctx.caught_up.get(Stream.CONFIG):
            self._reply(message.request_id, False, "the log can't be reached")
        elif ctx.config.version < message.base:
            until_mono_ms = ctx.now.mono_ms + BASE_PATIENCE_MS
            self._waiting.append(_Waiting(message=message, until_mono_ms=until_mono_ms))
        elif ctx.config.version != message.base:
            self._reply(message.request_id, False, "the base is not in force any more")
        else:
            self._count += 1
            candidate = ConfigVersion(
                version=message.base + 1,
                base=message.base,
                author=message.author,
                record_id=f"{ctx.incarnation}:apply:{self._count}",
                file=message.file,
            )
            self.applying[candidate.record_id] = _Applying(
                request_id=message.request_id,
                candidate=candidate,
                until_mono_ms=ctx.now.mono_ms + APPLY_PATIENCE_MS,
            )
            ctx.record(candidate, Stream.CONFIG)

    def on_read(self, message):
        """Fold versions from the log in order and answer the operators."""
        ctx = self.ctx
        for checkpoint in message.checkpoints:
            self._logged_version = max(self._logged_version, checkpoint.version)
            ctx.config.offer_newer(checkpoint)
        for version in message.versions:
            won = ctx.config.offer_from_log(version)
            if won:
                self._logged_version = version.version
                ctx.note(
                    "configuration in force",
                    step="config",
                    subject=str(version.version),
                )
            in_force = ctx.config.current
            self._settle(version, in_force.record_id == version.record_id)
        self._resume()

    def _resume(self):
        """Apply the files whose base has come into force here."""
        version = self.ctx.config.version
        ready = [row for row in self._waiting if row.message.base <= version]
        self._waiting = [row for row in self._waiting if row.message.base > version]
        for row in ready:
            self.apply(row.message)

    def _settle(self, version, won):
        applying = self.applying.pop(version.record_id, None)
        if applying is not None:
            reason = "" if won else "another version was accepted first"
            self._reply(applying.request_id, won, reason)

    def on_push(self, version):
        """Take a peer's version if it is newer."""
        if self.ctx.config.offer_newer(version):
            self.ctx.note(
                "configuration taken from a peer",
                step="config",
                subject=str(version.version),
            )
            self._resume()

    def on_heartbeat(self, name, version):
        """Pull a version that a peer has and this instance has not."""
        if version > self.ctx.config.version:
            message = ConfigPull(above_version=self.ctx.config.version)
            self.ctx.emit(SendPeer(peer=name, message=message))

    def tick(self):
        """Give up lost applies; keep the version in force within the retention."""
        ctx = self.ctx
        for record_id, applying in list(self.applying.items()):
            if ctx.now.mono_ms > applying.until_mono_ms:
                del self.applying[record_id]
                self._withdraw(record_id)
                reason = "unknown: the log has not answered; read the report"
                self._reply(applying.request_id, False, reason)
        self._refuse_unknown_bases()
        self._checkpoint()

    def _refuse_unknown_bases(self):
        """Refuse the files whose base did not come into force here in time."""
        now_mono_ms = self.ctx.now.mono_ms
        expired = [row for row in self._waiting if now_mono_ms > row.until_mono_ms]
        for row in expired:
            self._waiting.remove(row)
            reason = "the base is not in force here"
            self._reply(row.message.request_id, False, reason)

    def _withdraw(self, record_id):
        queue = self.ctx.queues[Stream.CONFIG]
        queue.withdraw(lambda entry: entry.record_id == record_id)

    def _checkpoint(self):
        """Append the version in force again when it is due; the first name does."""
        ctx = self.ctx
        if ctx.log_is_down or ctx.config.current is None:
            return
        if ctx.now.mono_ms < self._checkpoint_due_mono_ms:
            return
        every_ms = ctx.limits.checkpoint_every_ms
        self._checkpoint_due_mono_ms = ctx.now.mono_ms + every_ms
        live = [member.name for member in ctx.members.live(ctx.now.mono_ms)]
        behind = self._logged_version < ctx.config.version
        if behind or ctx.name <= min(live, default=ctx.name):
            ctx.emit(SaveCheckpoint(stream=Stream.CONFIG, state=ctx.config.current))

    def _reply(self, request_id, accepted, reason):
        current = self.ctx.config.current
        self.ctx.emit(
            ReplyApplied(
                request_id=request_id,
                accepted=accepted,
                version=self.ctx.config.version,
                author=current.author if current else "",
                reason=reason,
            )
        )
