"""Clients of backend servers."""

from __future__ import annotations
