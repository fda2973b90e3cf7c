"""Execution of dispatched requests by an agent."""

from __future__ import annotations
