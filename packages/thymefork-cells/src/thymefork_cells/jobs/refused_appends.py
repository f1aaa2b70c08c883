"""Appends that the store refuses for what they contain."""

from operator import itemgetter

from .journal import PROBE_KEY

__all__ = ["RefusedAppends"]

# An ended job deletes many records at once.
MAX_LOGGED_RECORDS = 3


class RefusedAppends:
    """Find the record to blame for a refused append, and go on without it.

    A refused append is offered again in halves until the record is alone. Whether it is
    to blame, or the store takes nothing at all, is shown by a record that is certainly
    sound, the probe.
    """

    def __init__(self, *, context, intake):
        self._context = context
        self._intake = intake

    def on_refused(self, batch, *, to_blame, now_ms):
        """Requeue a refused batch; return whether the store may take other records.

        Batches after the one `to_blame` were refused for their order only.
        """
        journal = self._context.journal
        if not to_blame:
            journal.put_back(batch)
            return True
        if batch.unit_count > 1:
            self._context.count("refused_records", "append_halved")
            journal.put_back(batch)
            journal.limit_next(batch.unit_count // 2)
            return True
        if PROBE_KEY in batch.other_records:
            self._context.count("refused_records", "none_taken")
            self._context.note("store_takes_nothing", level="WARNING")
            journal.requeue_effects(batch)
            journal.offer_all_again()
            return False
        self._set_aside(batch, now_ms)
        journal.put_probe()
        return True

    def _set_aside(self, batch, now_ms):
        """Go on without the only change of a batch, and tell of it."""
        journal = self._context.journal
        job_id = batch.changes[0][0].job_id if batch.changes else ""
        if batch.new_jobs:
            how = "job_refused"
            self._refuse_new_job(batch, now_ms)
        elif not batch.changes:
            how = "dropped"
            journal.doubt(batch)
        elif journal.job_records.leave_out_checkpoints(*batch.changes[0]):
            how = "without_checkpoints"
            journal.put_back(batch)
        else:
            how = "set_aside"
            journal.put_back(batch)
            journal.set_aside(batch, now_ms)
        self._context.count("refused_records", how)
        self._context.note(
            "record_refused",
            level="ERROR",
            job=job_id,
            records=_largest(batch.records),
            how=how,
        )

    def _refuse_new_job(self, batch, now_ms):
        """Refuse a job that the store does not take; its caller is told at once."""
        self._intake.return_new_jobs(batch, now_ms=now_ms)
        self._context.journal.put_back(batch)

    def review(self, now_ms):
        """Refuse requests that wait for refused records; offer these again at times."""
        for reply in self._context.journal.take_refused_replies():
            self._intake.refuse(reply)
        offered = self._context.journal.offer_due_again(now_ms)
        if offered:
            self._context.count("refused_records", "offered_again", offered)


def _largest(records):
    """Return the keys and sizes of the largest records, for a log line."""
    sizes = [(key, len(key) + len(value)) for key, value in records]
    return sorted(sizes, key=itemgetter(1), reverse=True)[:MAX_LOGGED_RECORDS]
