"""Jobs: acceptance, state changes and stored records."""

from .codec import (
    JOB_KEY,
    PROGRESS_KEY,
    decode_progress,
    decode_spec,
    encode_progress,
    encode_spec,
    load_ended_job,
    load_job,
    store_job,
)
from .inherited_ends import InheritedEnds
from .intake import STORE_AWAY_RETRY_MS, Intake
from .job_loader import JobLoader
from .journal import Batch, Journal
from .lifecycle import Lifecycle
from .unstored_ends import ANNOUNCE_AFTER_MS, UnstoredEnds

__all__ = [
    "ANNOUNCE_AFTER_MS",
    "JOB_KEY",
    "PROGRESS_KEY",
    "STORE_AWAY_RETRY_MS",
    "Batch",
    "InheritedEnds",
    "Intake",
    "JobLoader",
    "Journal",
    "Lifecycle",
    "UnstoredEnds",
    "decode_progress",
    "decode_spec",
    "encode_progress",
    "encode_spec",
    "load_ended_job",
    "load_job",
    "store_job",
]
