"""Choose which tasks start next, and on which workers."""

from .crash_isolation import ISOLATE_AFTER_LOSSES, CrashIsolation
from .gang_workers import workers_for_gang
from .placement_log import PlacementLog
from .placer import Placer
from .preemptor import Preemptor
from .reservations import Reservations
from .speed_scorer import SpeedScorer
from .starvation import starved_ms
from .step_order import StepOrder
from .worker_ranking import (
    WorkerRanking,
    best_hall,
    fit_score,
    has_required_label,
    task_capacity,
)

__all__ = [
    "ISOLATE_AFTER_LOSSES",
    "CrashIsolation",
    "PlacementLog",
    "Placer",
    "Preemptor",
    "Reservations",
    "SpeedScorer",
    "StepOrder",
    "WorkerRanking",
    "best_hall",
    "fit_score",
    "has_required_label",
    "starved_ms",
    "task_capacity",
    "workers_for_gang",
]
