"""Jobs: taking them in, their states, and what is stored of them."""

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
from .unstored_ends import TELL_AFTER_MS, UnstoredEnds

__all__ = [
    "Batch",
    "InheritedEnds",
    "Intake",
    "JOB_KEY",
    "JobLoader",
    "Journal",
    "Lifecycle",
    "PROGRESS_KEY",
    "STORE_AWAY_RETRY_MS",
    "TELL_AFTER_MS",
    "UnstoredEnds",
    "decode_progress",
    "decode_spec",
    "encode_progress",
    "encode_spec",
    "load_ended_job",
    "load_job",
    "store_job",
]
