"""Models resident on one backend server: memory, orders and evictions."""

from __future__ import annotations
