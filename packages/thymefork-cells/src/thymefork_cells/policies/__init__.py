"""Policies of the queues of accepted jobs, beyond their removal."""

from .codec import QUEUE_POLICY_KEY
from .retained_policies import RetainedPolicies

__all__ = ["QUEUE_POLICY_KEY", "RetainedPolicies"]
