"""Counters, gauges and histograms in the Prometheus text format."""

from bisect import bisect_left
from collections import Counter

__all__ = ["Metrics"]

# Cover store appends up to the longest jobs.
BUCKETS_MS = (5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 20_000, 60_000)
COUNTERS = {
    "refusals": "Requests refused, by reason.",
    "retries": "Calls and runs tried again, by reason.",
    "run_ends": "Runs by how they ended.",
    "looks": "Looks at workers whose answer was set aside, by reason.",
    "stops": "Runs that a worker has to stop, by what became of the order.",
    "gangs_stopped": "Runs of gangs that were stopped before they began, by cause.",
    "jobs_ended": "Jobs by their last state.",
    "cancelled": "What cancelled jobs gave back as they were cancelled, by kind.",
    "workers_paused": "Workers given nothing for a while, by reason.",
    "delayed_starts": "Unanswered starts that may still arrive, by what is known.",
    "long_holds": "Workers that may hold runs beyond a usual lease, by what is known.",
    "worker_losses": "Workers lost with runs on them, and what came of it.",
    "heard_ends": "Ends that their owner could not store, and what came of them.",
    "lease_notices": "Promises of owners about their leases, by what became of them.",
    "requests": "Callers' requests, by kind.",
    "appends": "Batches sent to the store, by how many of the cell are under way.",
    "store_calls": "Calls to the store, by outcome.",
    "ownership": "Changes of a cell's owner seen here, by kind.",
    "advice_withdrawn": "Calls for advice that nobody wanted any more, by how far.",
    "advice_workers": "Workers that the advice service was asked about, by queue.",
    "speeds": "What was learned of how fast workers are, by kind.",
    "starts_by_share": "Tasks started for accounts with a share, by whose turn it was.",
    "placed_by_speed": "Tasks started while workers are uneven, by need and speed.",
    "reservations": "Workers kept free for a step, by its kind.",
    "waits_beside_room": "Log lines of waiting steps, by what kept workers with room.",
    "owners_taken_out": "Owners replaced before their membership lapsed, by reason.",
    "owner_handovers": "Cells given to members that are better placed, by reason.",
    "owner_handovers_given_up": "Handovers begun and not carried out, by reason.",
    "owner_shed": "Work that an overloaded owner put off, by kind.",
    "odd_answers": "Answers that nobody waited for or could read, by kind.",
    "checkpoints": "Jobs whose runs save more than the store keeps, by what.",
    "refused_records": "Records that the store will not take, and what came of them.",
    "removed_policies": "Queues and accounts with jobs and no place, by what is known.",
    "limit_parts": "Parts of accounts' limits asked for, lent and returned, by what.",
    "limit_parts_dropped": "Messages on parts of limits that reached nobody.",
    "log_lines_left_out": "Log lines that were not written, by event.",
}
HISTOGRAMS = {
    "request": "From a request's arrival to its answer, by kind.",
    "append": "From an append's first try to its acknowledgement.",
    "takeover": "From being dealt a cell to placing in it.",
    "advice": "From a step's question to the call, and to the tickets.",
    "job_total": "From a job's acceptance to its end, by queue.",
    "queue_wait": "From a task's turn to its start.",
    "task_idle": "How long a task was ready without a run, by queue.",
    "start": "From a start's sending to its answer.",
    "stop": "From a stop's sending to its outcome, by whether it was answered.",
}
GAUGES = {
    "owner_tier": "How well this instance can own cells: 1 least, 2 partial, 3 full.",
    "owner_load_percent": "Load of this instance as an owner; 100 is what is bearable.",
}
# Bounds memory; further label values are counted under `OTHER`.
MAX_LABEL_VALUES = 200
OTHER = "other"


class Metrics:
    """Collect metrics; the Prometheus client library is imported by the first scrape.

    The import is slow and would delay a restarted owner.
    """

    def __init__(self):
        self._counts = {name: Counter() for name in COUNTERS}
        self._buckets = {name: {} for name in HISTOGRAMS}
        self._gauges = dict.fromkeys(GAUGES, 0)

    def count(self, name, reason, amount=1):
        """Increase a counter."""
        counts = self._counts[name]
        if reason not in counts and len(counts) >= MAX_LABEL_VALUES:
            reason = OTHER
        counts[reason] += amount

    def set(self, name, value):
        """Set a gauge."""
        self._gauges[name] = value

    def observe(self, name, value_ms, kind=""):
        """Add a duration to a histogram."""
        kinds = self._buckets[name]
        if kind not in kinds and len(kinds) >= MAX_LABEL_VALUES:
            kind = OTHER
        bucket_counts = kinds.setdefault(kind, [0] * (len(BUCKETS_MS) + 1) + [0.0])
        bucket_counts[bisect_left(BUCKETS_MS, value_ms)] += 1
        bucket_counts[-1] += value_ms

    def text(self):
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry
        from prometheus_client.exposition import generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self):
        """Yield the metric families, as the Prometheus registry requests them."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, help_text in GAUGES.items():
            value = self._gauges[name]
            yield GaugeMetricFamily(f"thymefork_{name}", help_text, value=value)
        for name, help_text in COUNTERS.items():
            family = CounterMetricFamily(
                f"thymefork_{name}", help_text, labels=["reason"]
            )
            for reason, count in self._counts[name].items():
                family.add_metric([reason], count)
            yield family
        for name, help_text in HISTOGRAMS.items():
            family = HistogramMetricFamily(
                f"thymefork_{name}_ms", help_text, labels=["kind"]
            )
            for kind, bucket_counts in self._buckets[name].items():
                family.add_metric([kind], _cumulative(bucket_counts), bucket_counts[-1])
            yield family


def _cumulative(bucket_counts):
    total, rows = 0, []
    bounds = [str(bound) for bound in BUCKETS_MS] + ["+Inf"]
    for bound, count in zip(bounds, bucket_counts, strict=False):
        total += count
        rows.append([bound, total])
    return rows
