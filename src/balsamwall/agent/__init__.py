"""Message routing, state reports and drain of the agent role."""

from __future__ import annotations
