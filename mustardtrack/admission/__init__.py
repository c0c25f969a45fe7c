"""Admission: fair queueing, limits, retry budgets and quarantine."""

from mustardtrack.admission.allotments import AccountLimits, Limit
from mustardtrack.admission.fairness import (
    Capacity,
    ClassShare,
    DequeuedItem,
    FairQueue,
    QueueItem,
)
from mustardtrack.admission.outcomes import ADMITTED, Admitted, Refused
from mustardtrack.admission.quarantine import Suspects, fingerprint
from mustardtrack.admission.retries import RetryBudget

__all__ = [
    "ADMITTED",
    "AccountLimits",
    "Admitted",
    "Capacity",
    "ClassShare",
    "FairQueue",
    "Limit",
    "QueueItem",
    "Refused",
    "RetryBudget",
    "Suspects",
    "DequeuedItem",
    "fingerprint",
]
