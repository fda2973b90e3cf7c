"""Dispatch of requests from an entry to agents."""

from __future__ import annotations
