"""Base class of the errors of the domain model."""

from __future__ import annotations


class DomainError(Exception):
    """Base class of the domain model's errors."""
