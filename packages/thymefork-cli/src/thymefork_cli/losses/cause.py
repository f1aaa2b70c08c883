"""Causes of lost and late requests."""

from enum import StrEnum

__all__ = ["Cause"]


class Cause(StrEnum):
    """Enumerate the causes of lost and late requests."""

    STORE_AWAY = "the store took nothing"
    NO_OWNER = "its cell's owner was not found"
    NO_REPLY = "its cell's owner did not reply"
    FAILED = "its tasks failed too often"
    CRASHES = "workers were lost under one of its tasks"
    NOT_ALLOWED = "its policy allows no worker"
    NO_PERMISSION = "it waited for its policy's permission"
    ACCOUNT_LIMIT = "its account had all running that it may"
    BEYOND_SHARE = "its account had sent more than its share"
    NO_ROOM = "it waited for room"
    START = "it waited for a start"
    SILENT_WORKER = "a worker with its runs fell silent"
    RUNS_FAILED = "runs of it failed"
    RUNS_STOPPED = "runs of it were stopped"
    OWNER_REPLACED = "its cell's owner was replaced"
    STORE_SLOW = "the store was slow or away meanwhile"
    SLOW_RUNS = "its runs took long, or nothing in the logs explains it"
