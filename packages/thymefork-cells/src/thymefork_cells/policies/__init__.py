"""Policies of the queues and accounts of accepted jobs, beyond their removal."""

from .codec import ACCOUNT_POLICY_KEY, QUEUE_POLICY_KEY
from .retained_policies import RetainedPolicies

__all__ = ["ACCOUNT_POLICY_KEY", "QUEUE_POLICY_KEY", "RetainedPolicies"]
