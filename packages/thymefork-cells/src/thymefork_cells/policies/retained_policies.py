"""Keep the policies of queues and accounts that a configuration removes.

An accepted job goes on under the last policy of its queue and of its account. What live
jobs need is stored with them, so that the next owner keeps it as well.
"""

from collections import Counter

from ..jobs.objective import set_objective
from .codec import (
    ACCOUNT_POLICY_KEY,
    QUEUE_POLICY_KEY,
    decode_account_policy,
    decode_queue_policy,
    encode_account_policy,
    encode_queue_policy,
    policy_key,
)

__all__ = ["RetainedPolicies"]

REVIEW_INTERVAL_MS = 2_000.0
# An instance may accept jobs by the configuration before for this long.
REMOVED_RETENTION_MS = 10_000.0


class RetainedPolicies:
    """Keep and store the last policies that accepted jobs go by."""

    def __init__(self, *, context):
        self._context = context
        self._stored = {}  # names and values by key
        self._drop_due_ms = {}  # by the name of a removed queue without jobs
        self._review_due_ms = 0.0
        self._attempts_changed = False

    # Configurations ----------------------------------------------------------

    def replace_configuration(self, configuration):
        """Put a configuration in force; keep the policies that it removes."""
        context = self._context
        before = context.configuration
        live_jobs = list(context.live_jobs.values())
        unknown = [job for job in live_jobs if context.queue(job) is None]
        attempts = {job.queue_name: self._max_attempts(job) for job in live_jobs}
        context.removed_queues |= {
            queue.name: queue
            for queue in before.queues
            if configuration.queue(queue.name) is None
        }
        context.removed_accounts |= {
            account.name: account
            for account in before.accounts or ()
            if configuration.account(account.name) is None
        }
        context.configuration = configuration
        for job in unknown:
            set_objective(job, context.queue(job))
        self._attempts_changed |= any(
            self._max_attempts(job) != attempts[job.queue_name] for job in live_jobs
        )
        self._on_jobs_known()

    def _max_attempts(self, job):
        queue = self._context.queue(job)
        return queue.max_attempts if queue is not None else None

    def _on_jobs_known(self):
        """Store the policies that live jobs go by; tell which of them were removed."""
        context = self._context
        live_jobs = context.live_jobs.values()
        queues = Counter(job.queue_name for job in live_jobs)
        accounts = Counter(job.account_name for job in live_jobs if job.account_name)
        for name, jobs in queues.items():
            self._store_queue(name)
            if context.configuration.queue(name) is None:
                is_known = name in context.removed_queues
                self._note_removed("queue", name, jobs, is_known=is_known)
        for name, jobs in accounts.items():
            self._store_account(name)
            if context.configuration.account(name) is None:
                is_known = name in context.removed_accounts
                self._note_removed("account", name, jobs, is_known=is_known)

    def _note_removed(self, kind, name, jobs, *, is_known):
        self._context.count(
            "removed_policies", f"{kind}_{'kept' if is_known else 'unknown'}"
        )
        self._context.note(
            f"{kind}_removed",
            level="INFO" if is_known else "WARNING",
            **{kind: name},
            jobs=jobs,
            is_known=is_known,
            configuration=self._context.configuration.version,
        )

    def take_changed_attempts(self):
        """Return whether live jobs may make more or fewer attempts since last time."""
        changed, self._attempts_changed = self._attempts_changed, False
        return changed

    # Store -------------------------------------------------------------------

    def load(self, records):
        """Load the stored policies, which count unless the configuration has newer."""
        for key, value in records.items():
            if key.startswith(QUEUE_POLICY_KEY):
                queue = decode_queue_policy(value)
                self._context.removed_queues[queue.name] = queue
                self._stored[key] = (queue.name, value)
            elif key.startswith(ACCOUNT_POLICY_KEY):
                account = decode_account_policy(value)
                self._context.removed_accounts[account.name] = account
                self._stored[key] = (account.name, value)

    def on_jobs_loaded(self):
        """Go by the configuration, which may be newer than what was stored."""
        self._attempts_changed = True
        self._on_jobs_known()

    def store_for(self, job):
        """Store the policies that a new job goes by, together with the job."""
        self._store_queue(job.queue_name)
        self._store_account(job.account_name)

    def _store_queue(self, name):
        policy = self._context.queue_policy(name)
        if policy is not None:
            key = policy_key(QUEUE_POLICY_KEY, name)
            self._store(key, name, encode_queue_policy(policy))

    def _store_account(self, name):
        policy = self._context.account_policy(name)
        if policy is not None:
            key = policy_key(ACCOUNT_POLICY_KEY, name)
            self._store(key, name, encode_account_policy(policy))

    def _store(self, key, name, value):
        if self._stored.get(key) != (name, value):
            self._stored[key] = (name, value)
            self._context.journal.put(key, value)

    # Review ------------------------------------------------------------------

    def review(self, now_ms):
        """Drop what neither the configuration nor a live job needs any more."""
        if now_ms < self._review_due_ms:
            return
        self._review_due_ms = now_ms + REVIEW_INTERVAL_MS
        configuration = self._context.configuration
        live_jobs = self._context.live_jobs.values()
        queues = {job.queue_name for job in live_jobs}
        accounts = {job.account_name for job in live_jobs}
        self._drop_removed_queues(queues, now_ms)
        for key, (name, _) in list(self._stored.items()):
            if key.startswith(QUEUE_POLICY_KEY):
                needed = name in queues or configuration.queue(name) is not None
            else:
                needed = name in accounts or configuration.account(name) is not None
            if not needed:
                del self._stored[key]
                self._context.journal.put(key, b"")

    def _drop_removed_queues(self, used_names, now_ms):
        """Forget removed queues that no job has used for a while."""
        removed = self._context.removed_queues
        for name in list(removed):
            if name in used_names:
                self._drop_due_ms.pop(name, None)
                continue
            due_ms = self._drop_due_ms.setdefault(name, now_ms + REMOVED_RETENTION_MS)
            if now_ms >= due_ms:
                del removed[name], self._drop_due_ms[name]
