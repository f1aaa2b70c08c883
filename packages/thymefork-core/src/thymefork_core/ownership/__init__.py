"""Who owns a worker, for how long, and who should."""

from .owner_lease import OwnerLease
from .rendezvous import balanced_owners, preferred_owner
from .silence import SilenceWatch

__all__ = ["OwnerLease", "SilenceWatch", "balanced_owners", "preferred_owner"]
