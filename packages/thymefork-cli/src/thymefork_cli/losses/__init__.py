"""Lost and late requests by cause, from the saved logs of instances."""

from .cause import Cause
from .find import find_losses
from .loss import Loss
from .losses import Losses
from .outcome import Outcome
from .plot import plot_losses

__all__ = ["Cause", "Loss", "Losses", "Outcome", "find_losses", "plot_losses"]
