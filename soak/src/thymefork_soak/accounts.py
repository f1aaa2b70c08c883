"""Client accounts with changing limits, and callers with revoked or unknown keys."""

import asyncio

from thymefork_net import steady_ms

from .callers import Caller, SubmittedJob

__all__ = [
    "NAMES",
    "UNLIMITED",
    "AccountChanges",
    "Accounts",
    "GuestCaller",
    "StrangerCaller",
]

NAMES = ("a0", "a1", "a2")
GUEST = "guest"
# Account without a limit, for long-running jobs.
UNLIMITED = "steady"
# From less than one job requests to more than an account's callers usually use.
LIMITS_CPU_MILLI = (2_000, 4_000, 8_000)
MAX_CPU_MILLI = 8_000
# Guaranteed times: for a configuration to apply everywhere after its acknowledgement,
# and for every machine to reconnect after the last fault.
CONFIG_TIMEOUT_MS = 3_000.0
RECONNECT_TIMEOUT_MS = 3_000.0
MARGIN_MS = 300.0
NO_SUCH_JOB = 410
UNKNOWN_KEY = 401


def key_of(account):
    """Return the API key of an account."""
    return f"key-of-{account}"


class Accounts:
    """Hold the account settings of the current configuration."""

    def __init__(self):
        self.limits_cpu_milli = dict.fromkeys(NAMES, MAX_CPU_MILLI)
        self.guest_has_key = True
        self.guest_changed_ms = 0.0

    def rows(self):
        """Return the accounts in the format of the configuration."""
        rows = [
            _row(name, cpu, [key_of(name)])
            for name, cpu in self.limits_cpu_milli.items()
        ]
        keys = [key_of(GUEST)] if self.guest_has_key else []
        return [*rows, _row(GUEST, 0, keys), _row(UNLIMITED, 0, [key_of(UNLIMITED)])]


def _row(name, cpu_milli, keys):
    limit = {"cpu": cpu_milli, "mem_mb": 0, "gpus": 0}
    return {"name": name, "api_keys": keys, "weight": 10, "max_items": limit}


class AccountChanges:
    """Change account limits, and revoke and restore the guest's key."""

    def __init__(self, *, fleet, random):
        self._fleet = fleet
        self._random = random

    async def run(self, until_s, now):
        """Make changes until the given time, then restore all settings."""
        accounts = self._fleet.accounts
        while now() < until_s:
            await asyncio.sleep(self._random.choice((0.3, 1.0, 4.0, 8.0)))
            if self._random.random() < 0.4:
                await self._set_guest(not accounts.guest_has_key)
            else:
                name = self._random.choice(NAMES)
                accounts.limits_cpu_milli[name] = self._random.choice(LIMITS_CPU_MILLI)
                await self._fleet.configure()
        accounts.limits_cpu_milli = dict.fromkeys(NAMES, MAX_CPU_MILLI)
        await self._set_guest(True)

    async def _set_guest(self, has_key):
        accounts = self._fleet.accounts
        accounts.guest_has_key = has_key
        accounts.guest_changed_ms = float("inf")  # until the store has accepted it
        await self._fleet.configure()
        accounts.guest_changed_ms = steady_ms()


class GuestCaller(Caller):
    """Call with a key that is revoked at times; record answers from a stale version."""

    def __init__(self, *, fleet, random):
        super().__init__(fleet=fleet, random=random, account=GUEST)
        self.violations = []

    async def run(self, until_s, now):
        """Request unknown jobs until the given time."""
        while now() < until_s:
            await asyncio.sleep(self._random.uniform(0.05, 0.5))
            accounts = self._fleet.accounts
            had_key, changed_ms = accounts.guest_has_key, accounts.guest_changed_ms
            stable_since_ms = (await self._fleet.control("calm", {}))["calm_since_ms"]
            due_ms = max(
                changed_ms + CONFIG_TIMEOUT_MS,
                stable_since_ms + RECONNECT_TIMEOUT_MS + CONFIG_TIMEOUT_MS,
            )
            is_due = steady_ms() > due_ms + MARGIN_MS
            status = await self.call("GET", f"{self._random.getrandbits(64):016x}")
            changed = accounts.guest_changed_ms != changed_ms
            if is_due and not changed:
                self._check_answer(status, had_key)

    def _check_answer(self, status, had_key):
        if had_key and status == UNKNOWN_KEY:
            self.violations.append("CONFIG: refused a key that is configured")
        elif not had_key and status == NO_SUCH_JOB:
            self.violations.append("CONFIG: accepted a key that was revoked")


class StrangerCaller(Caller):
    """Submit jobs with a key that was never configured."""

    def __init__(self, *, fleet, random):
        super().__init__(fleet=fleet, random=random, account="nobody")
        self.violations = []

    async def run(self, until_s, now):
        """Submit jobs until the given time; none may be accepted."""
        while now() < until_s:
            await asyncio.sleep(self._random.uniform(0.3, 1.5))
            submitted = SubmittedJob(job_id=f"{self._random.getrandbits(64):016x}")
            self.submitted_jobs.append(submitted)
            status = await self.call("POST", submitted.job_id, self._job())
            if status == 200:
                self.violations.append(
                    f"ROUTE: {submitted.job_id} accepted with an unknown key"
                )
