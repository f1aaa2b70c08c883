"""Plot of losses over time, coloured by cause."""

from collections import Counter
from datetime import datetime

from thymefork_core.exceptions import ThymeforkError

__all__ = ["plot_losses"]

WINDOW_S = 2


def plot_losses(losses, path):
    """Write a stacked bar plot of losses in windows of `WINDOW_S`.

    Raises: ThymeforkError if matplotlib is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as failure:
        raise ThymeforkError(
            "plots need matplotlib; install the extra `bench`", step="plot"
        ) from failure
    figure = Figure(figsize=(9, 4))
    axes = figure.add_subplot()
    heights = _heights(losses)
    windows = sorted({window for counts in heights.values() for window in counts})
    below = Counter()
    for cause, counts in heights.items():
        axes.bar(
            windows,
            [counts[window] for window in windows],
            bottom=[below[window] for window in windows],
            width=0.9 * WINDOW_S,
            label=str(cause),
        )
        below.update(counts)
    axes.set_xlabel("seconds since the first loss")
    axes.set_ylabel(f"requests lost or late in {WINDOW_S} s")
    axes.legend(fontsize="x-small")
    figure.tight_layout()
    figure.savefig(path)


def _heights(losses):
    """Return the number of losses by cause and window."""
    if not losses.items:
        return {}
    moments = [datetime.fromisoformat(item.at).timestamp() for item in losses.items]
    first = min(moments)
    heights = {}
    for item, moment in zip(losses.items, moments, strict=True):
        window = int((moment - first) // WINDOW_S) * WINDOW_S
        heights.setdefault(item.cause, Counter())[window] += 1
    return heights
