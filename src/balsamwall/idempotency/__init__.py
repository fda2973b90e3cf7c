"""At-most-once execution by key homes."""

from __future__ import annotations
