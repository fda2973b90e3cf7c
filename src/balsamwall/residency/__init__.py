"""Memory ledger, orders and evictions of one backend server."""

from __future__ import annotations
