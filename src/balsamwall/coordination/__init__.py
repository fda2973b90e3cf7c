"""Leader-elected coordination of model placement across all engines."""

from __future__ import annotations
