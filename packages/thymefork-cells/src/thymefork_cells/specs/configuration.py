"""The configuration of queues, services and accounts."""

from hashlib import blake2b

from attrs import field, frozen

from .account_policy import AccountPolicy
from .queue_policy import QueuePolicy
from .service_policy import ServicePolicy

__all__ = ["Configuration", "key_digest"]

DIGEST_BYTES = 16


def key_digest(key):
    """Return the digest under which an API key is stored."""
    return blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()


@frozen(kw_only=True)
class Configuration:
    """One version of the queues, services, client accounts and HTTP limits.

    `accounts` is None if the deployment has none: its queues are open to all.

    Units: bytes and milliseconds.
    """

    version: int
    queues: tuple[QueuePolicy, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    accounts: tuple[AccountPolicy, ...] | None = None
    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
    _by_name: dict = field(init=False, repr=False, eq=False)
    _by_host: dict = field(init=False, repr=False, eq=False)
    _accounts: dict = field(init=False, repr=False, eq=False)
    _by_digest: dict = field(init=False, repr=False, eq=False)

    @_by_name.default
    def _index_names(self):
        return {queue.name: queue for queue in self.queues}

    @_by_host.default
    def _index_hosts(self):
        hosts = {}
        for queue in self.queues:
            hosts.setdefault(queue.host, []).append(queue)
        for queues in hosts.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))
        return hosts

    @_accounts.default
    def _index_accounts(self):
        return {account.name: account for account in self.accounts or ()}

    @_by_digest.default
    def _index_digests(self):
        return {
            digest: account
            for account in self.accounts or ()
            for digest in account.key_digests
        }

    def requires_key(self, queue):
        """Return whether callers of a queue need an account's key."""
        return self.accounts is not None and not queue.is_public

    def account(self, name):
        """Return the client account with a name, or None."""
        return self._accounts.get(name)

    def account_of_key(self, key):
        """Return the client account of an API key, or None."""
        return self._by_digest.get(key_digest(key))

    def queue(self, name):
        """Return the queue with a name, or None."""
        return self._by_name.get(name)

    def queue_for(self, host, path):
        """Return the queue with the longest matching path prefix, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
