"""Clients of the platform services."""

from __future__ import annotations
