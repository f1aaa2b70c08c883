"""Jobs: acceptance, state changes and stored records."""

from .codec import (
    JOB_KEY,
    PROGRESS_KEY,
    decode_ended_job,
    decode_job,
    decode_progress,
    decode_spec,
    encode_job,
    encode_progress,
    encode_spec,
)
from .inherited_ends import InheritedEnds
from .intake import STORE_UNAVAILABLE_RETRY_DELAY_MS, Intake
from .job_loader import JobLoader
from .journal import Batch, Journal
from .lifecycle import Lifecycle
from .unstored_ends import ANNOUNCE_AFTER_MS, UnstoredEnds

__all__ = [
    "ANNOUNCE_AFTER_MS",
    "JOB_KEY",
    "PROGRESS_KEY",
    "STORE_UNAVAILABLE_RETRY_DELAY_MS",
    "Batch",
    "InheritedEnds",
    "Intake",
    "JobLoader",
    "Journal",
    "Lifecycle",
    "UnstoredEnds",
    "decode_ended_job",
    "decode_job",
    "decode_progress",
    "decode_spec",
    "encode_job",
    "encode_progress",
    "encode_spec",
]
